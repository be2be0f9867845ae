//! Standard base64 with padding.

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0;
        for i in 0..3 {
            group = group << 8 | u32::from(chunk.get(i).copied().unwrap_or(0));
        }
        for i in 0..4 {
            let letter = LETTERS[(group >> (18 - 6 * i) & 63) as usize];
            encoded.push(if i <= chunk.len() {
                letter as char
            } else {
                '='
            });
        }
    }
    encoded
}
