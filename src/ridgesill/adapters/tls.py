"""Mutual TLS between nodes, from PEM files that may change."""

import ssl


class PeerTls:
    """Contexts for both sides of the nodes' streams.

    A new certificate is loaded into the same contexts, so that streams in
    use go on and new handshakes use the new one.

    Args:
        certificate: path of this node's certificate.
        key: path of its private key.
        authority: path of the authority that signs all nodes' certificates.
    """

    def __init__(self, certificate: str, key: str, authority: str) -> None:
        self._certificate = certificate
        self._key = key
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Nodes are known by IP number; the authority signs nodes only.
        self.client.check_hostname = False
        for context in (self.server, self.client):
            context.minimum_version = ssl.TLSVersion.TLSv1_2
            context.verify_mode = ssl.CERT_REQUIRED
            context.load_verify_locations(authority)
            context.set_alpn_protocols(["h2"])
        self.reload()

    def reload(self) -> None:
        """Reads the certificate and key again."""
        for context in (self.server, self.client):
            context.load_cert_chain(self._certificate, self._key)
