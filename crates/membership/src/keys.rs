//! Whose words they are: ed25519 keys, several for one name while one takes the place of another.

use std::collections::BTreeMap;
use std::fmt;

use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use zeroize::Zeroizing;

/// What a signature is for is part of what is signed, so that one kind can't be taken for another.
const DOMAIN: &[u8] = b"lynxmill membership 1\0";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// Not 64 hexadecimal digits.
    NotHex,
    /// No point of the curve, or a weak one.
    NoKey,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            KeyError::NotHex => "is not 64 hexadecimal digits",
            KeyError::NoKey => "is no ed25519 key",
        })
    }
}

fn bytes(hex: &str) -> Result<Zeroizing<[u8; 32]>, KeyError> {
    let mut bytes = Zeroizing::new([0; 32]);
    if hex.len() != 64 || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(KeyError::NotHex);
    }
    for (byte, digits) in bytes.iter_mut().zip(hex.as_bytes().chunks(2)) {
        let digit = |b: u8| (b as char).to_digit(16).unwrap_or(0) as u8;
        *byte = digit(digits[0]) << 4 | digit(digits[1]);
    }
    Ok(bytes)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A public key; it is written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct PublicKey(VerifyingKey);

impl PublicKey {
    /// # Errors
    /// What is wrong with it.
    pub fn read(text: &str) -> Result<Self, KeyError> {
        let key = VerifyingKey::from_bytes(&*bytes(text)?).map_err(|_| KeyError::NoKey)?;
        if key.is_weak() {
            Err(KeyError::NoKey)
        } else {
            Ok(PublicKey(key))
        }
    }

    /// What it goes by in a message.
    pub fn id(&self) -> u64 {
        let bytes = self.0.as_bytes();
        bytes
            .iter()
            .take(8)
            .fold(0, |id, byte| id << 8 | u64::from(*byte))
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex(self.0.as_bytes()))
    }
}

impl fmt::Debug for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Public({self})")
    }
}

/// A secret key. It is overwritten when it is dropped, and never shown.
#[derive(Clone)]
pub struct SecretKey(SigningKey);

impl SecretKey {
    /// From 32 bytes of chance that nobody else has.
    pub fn of(chance: &Zeroizing<[u8; 32]>) -> Self {
        SecretKey(SigningKey::from_bytes(chance))
    }

    /// # Errors
    /// What is wrong with it; never what it is.
    pub fn read(text: &str) -> Result<Self, KeyError> {
        bytes(text).map(|bytes| SecretKey::of(&bytes))
    }

    /// For its file alone.
    pub fn written(&self) -> Zeroizing<String> {
        let bytes = Zeroizing::new(self.0.to_bytes());
        Zeroizing::new(hex(&*bytes))
    }

    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key())
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({})", self.public())
    }
}

/// The public keys of all who may belong, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrustStore(BTreeMap<String, Vec<PublicKey>>);

impl TrustStore {
    /// One more key of a name; both hold while one takes the place of the other.
    pub fn add(&mut self, name: &str, key: PublicKey) {
        let keys = self.0.entry(name.to_owned()).or_default();
        if !keys.contains(&key) {
            keys.push(key);
        }
    }

    /// Takes a key out; a name without any is nobody's.
    pub fn revoke(&mut self, name: &str, key: &PublicKey) {
        if let Some(keys) = self.0.get_mut(name) {
            keys.retain(|known| known != key);
            if keys.is_empty() {
                self.0.remove(name);
            }
        }
    }

    pub fn knows(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    fn key(&self, name: &str, id: u64) -> Option<&PublicKey> {
        self.0.get(name)?.iter().find(|key| key.id() == id)
    }
}

impl KeyRing {
    /// How many keys a name has.
    pub fn trust_of(&self, name: &str) -> usize {
        self.trust.0.get(name).map_or(0, Vec::len)
    }
}

/// Signs for this instance, and tells whether others' signatures are theirs. What is signed is told apart by
/// `road`: a datagram's signature is none of a claim.
pub trait Identity {
    fn key(&self) -> u64;
    fn sign(&self, road: u8, text: &[u8]) -> Vec<u8>;
    /// Whether the name belongs here at all.
    fn knows(&self, name: &str) -> bool;
    /// How many belong here, whether there or not; 0 where that is not told.
    fn count(&self) -> usize {
        0
    }
    fn holds(&self, name: &str, key: u64, road: u8, text: &[u8], signature: &[u8]) -> bool;
}

/// The keys of an instance, and those it trusts.
#[derive(Clone, Debug)]
pub struct KeyRing {
    pub secret: SecretKey,
    pub trust: TrustStore,
}

fn whole(road: u8, text: &[u8]) -> Vec<u8> {
    [DOMAIN, &[road], text].concat()
}

impl Identity for KeyRing {
    fn key(&self) -> u64 {
        self.secret.public().id()
    }

    fn sign(&self, road: u8, text: &[u8]) -> Vec<u8> {
        self.secret.0.sign(&whole(road, text)).to_bytes().to_vec()
    }

    fn knows(&self, name: &str) -> bool {
        self.trust.knows(name)
    }

    fn count(&self) -> usize {
        self.trust.0.len()
    }

    fn holds(&self, name: &str, key: u64, road: u8, text: &[u8], signature: &[u8]) -> bool {
        let (Some(public), Ok(signature)) =
            (self.trust.key(name, key), Signature::from_slice(signature))
        else {
            return false;
        };
        public
            .0
            .verify_strict(&whole(road, text), &signature)
            .is_ok()
    }
}
