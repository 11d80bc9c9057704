"""A small authority and certificates for a trial, by `cryptography`; installations bring their own."""

from __future__ import annotations

import datetime
import os
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

EARLIER_S = 300  # a certificate counts from so long ago: clocks differ
Pair = tuple[x509.Certificate, ec.EllipticCurvePrivateKey]


def name_of(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def keep(path: Path, data: bytes, secret: bool = False) -> None:
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600 if secret else 0o644)
    with os.fdopen(fd, "wb") as file:
        file.write(data)


def secret_of(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def signed(
    subject: str, key: ec.EllipticCurvePrivateKey, by: Pair | None, life_s: float,
    extensions: list[x509.ExtensionType],
) -> x509.Certificate:  # fmt: skip
    now = datetime.datetime.now(datetime.UTC)
    made = (
        x509.CertificateBuilder()
        .subject_name(name_of(subject))
        .issuer_name(by[0].subject if by else name_of(subject))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(seconds=EARLIER_S))
        .not_valid_after(now + datetime.timedelta(seconds=life_s))
    )
    for extension in extensions:
        made = made.add_extension(extension, critical=isinstance(extension, x509.BasicConstraints))
    return made.sign(by[1] if by else key, hashes.SHA256())


def make_authority(folder: Path, life_s: float) -> Pair:
    """`authority.pem` and `authority.key` in `folder`."""
    folder.mkdir(parents=True, exist_ok=True, mode=0o700)
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.SubjectKeyIdentifier.from_public_key(key.public_key())
    made = signed("pinward trial authority", key, None, life_s, [x509.BasicConstraints(True, 0), subject])
    keep(folder / "authority.pem", made.public_bytes(serialization.Encoding.PEM))
    keep(folder / "authority.key", secret_of(key), secret=True)
    return made, key


def open_authority(folder: Path) -> Pair:
    """The authority in `folder`; raises OSError or ValueError where there is none."""
    made = x509.load_pem_x509_certificate((folder / "authority.pem").read_bytes())
    key = serialization.load_pem_private_key((folder / "authority.key").read_bytes(), None)
    if not isinstance(key, ec.EllipticCurvePrivateKey):
        raise ValueError(f"{folder / 'authority.key'}: is of another kind")
    return made, key


def make_keys(folder: Path, authority: Pair, name: str, life_s: float) -> None:
    """`NAME.pem` and `NAME.key` in `folder`, for the member of that name."""
    key = ec.generate_private_key(ec.SECP256R1())
    extensions: list[x509.ExtensionType] = [
        x509.SubjectAlternativeName([x509.DNSName(name)]),
        x509.BasicConstraints(False, None),
        x509.AuthorityKeyIdentifier.from_issuer_public_key(authority[1].public_key()),
    ]
    made = signed(name, key, authority, life_s, extensions)
    keep(folder / f"{name}.key", secret_of(key), secret=True)
    keep(folder / f"{name}.pem", made.public_bytes(serialization.Encoding.PEM))
