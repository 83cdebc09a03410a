"""Mutual TLS between nodes, with certificates that can be reloaded."""

import ssl


class PeerTls:
    """TLS contexts for both sides of the streams between nodes.

    A new certificate is loaded into the same contexts. Open streams continue,
    and new handshakes use the new certificate.

    Args:
        certificate: path of this node's certificate chain (PEM).
        key: path of its private key (PEM).
        authority: path of the CA certificate that signs all nodes' (PEM).

    Attributes:
        server: the context for accepted streams.
        client: the context for streams to peers.
    """

    def __init__(self, certificate: str, key: str, authority: str) -> None:
        self._certificate = certificate
        self._key = key
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Peers are addressed by IP address. Any certificate of the authority is
        # accepted, since it signs certificates of nodes only.
        self.client.check_hostname = False
        for context in (self.server, self.client):
            context.minimum_version = ssl.TLSVersion.TLSv1_2
            context.verify_mode = ssl.CERT_REQUIRED
            context.load_verify_locations(authority)
            context.set_alpn_protocols(["h2"])
        self.reload()

    def reload(self) -> None:
        """Reloads the certificate and key from their files."""
        for context in (self.server, self.client):
            context.load_cert_chain(self._certificate, self._key)
