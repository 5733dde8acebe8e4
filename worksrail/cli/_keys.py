"""``worksrail keys``: a private CA, instance certificates, tokens, secrets."""

import datetime
import hashlib
import ipaddress
import secrets
from pathlib import Path
from typing import Final

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from worksrail.cli._output import Output, invalid_argument

_CA_DAYS: Final = 3650
_BACKDATE: Final = datetime.timedelta(minutes=5)
_PRIVATE_MODE: Final = 0o600
_SECRET_BYTES: Final = 32


class KeyCommands:
    """Commands that make keys; nothing is sent over the network."""

    def __init__(self, output: Output) -> None:
        """Print to ``output``."""
        self._output = output

    def ca(self, folder: str) -> None:
        """Make a private CA in a folder: ``ca.pem`` and ``ca.key``."""
        place = Path(folder)
        place.mkdir(parents=True, exist_ok=True)
        if (place / 'ca.key').exists():
            self._output.fail(invalid_argument(f'{place / "ca.key"} exists'))
        key = ec.generate_private_key(ec.SECP256R1())
        name = _common_name('worksrail CA')
        builder = _certificate_builder(name, name, key.public_key(), _CA_DAYS)
        builder = builder.add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        certificate = builder.sign(key, hashes.SHA256())
        _write_atomically(place / 'ca.key', _key_pem(key))
        _write_atomically(place / 'ca.pem', _certificate_pem(certificate))
        self._output.line(f'made {place / "ca.pem"}', {'ca': str(place)})

    def issue(
        self,
        folder: str,
        name: str,
        addresses: str = '127.0.0.1',
        days: int = 30,
    ) -> None:
        """Issue ``NAME.pem`` and ``NAME.key`` for an instance.

        Running it again replaces both files; a running instance reloads them
        by itself.
        """
        place = Path(folder)
        try:
            ca_key = serialization.load_pem_private_key(
                (place / 'ca.key').read_bytes(), None
            )
            ca = x509.load_pem_x509_certificate((place / 'ca.pem').read_bytes())
            names = [
                x509.IPAddress(ipaddress.ip_address(address))
                for address in str(addresses).split(',')
            ]
        except (OSError, ValueError) as error:
            self._output.fail(invalid_argument(str(error)))
        if not isinstance(ca_key, ec.EllipticCurvePrivateKey):
            self._output.fail(
                invalid_argument('expected an elliptic-curve CA key')
            )
        key = ec.generate_private_key(ec.SECP256R1())
        builder = _certificate_builder(
            _common_name(name), ca.subject, key.public_key(), days
        )
        builder = builder.add_extension(
            x509.SubjectAlternativeName(names), critical=False
        )
        builder = builder.add_extension(
            x509.ExtendedKeyUsage(
                [
                    ExtendedKeyUsageOID.SERVER_AUTH,
                    ExtendedKeyUsageOID.CLIENT_AUTH,
                ]
            ),
            critical=False,
        )
        certificate = builder.sign(ca_key, hashes.SHA256())
        _write_atomically(place / f'{name}.key', _key_pem(key))
        _write_atomically(place / f'{name}.pem', _certificate_pem(certificate))
        self._output.line(
            f'issued {place / name}.pem for {days} days',
            {'certificate': f'{place / name}.pem'},
        )

    def token(self, operator: str) -> None:
        """Make an operator token and the setting that accepts it."""
        token = secrets.token_urlsafe(_SECRET_BYTES)
        digest = hashlib.sha256(token.encode()).hexdigest()
        self._output.line(
            f'token {token}\nsetting {operator}={digest}',
            {'token': token, 'setting': f'{operator}={digest}'},
        )

    def secret(self) -> None:
        """Make a secret that signs tickets."""
        secret = secrets.token_urlsafe(_SECRET_BYTES)
        self._output.line(secret, {'secret': secret})


def _common_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _certificate_builder(
    subject: x509.Name,
    issuer: x509.Name,
    public_key: ec.EllipticCurvePublicKey,
    days: int,
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    builder = x509.CertificateBuilder().subject_name(subject)
    builder = builder.issuer_name(issuer).public_key(public_key)
    builder = builder.serial_number(x509.random_serial_number())
    builder = builder.not_valid_before(now - _BACKDATE)
    return builder.not_valid_after(now + datetime.timedelta(days=days))


def _key_pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def _certificate_pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


def _write_atomically(path: Path, content: bytes) -> None:
    # Replaces the file atomically, so that no reader sees a partial file.
    temporary = path.with_suffix(path.suffix + '.new')
    temporary.touch(_PRIVATE_MODE)
    temporary.write_bytes(content)
    temporary.replace(path)
