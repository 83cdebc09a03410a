"""Tests of mutual TLS between nodes, with real sockets and processes."""

import signal
import ssl
from pathlib import Path
from typing import Any

import attrs
import pytest
import trustme

from ridgesill.adapters.peer_rpc import PeerLinks, PeerServer
from ridgesill.adapters.tls import PeerTls
from ridgesill.core.following import Propose, ProposeReply
from ridgesill.ports.peers import PeerError
from testing.clients import chat, open_stream
from testing.conftest import configure, make_small_deployment
from testing.processes import deployed, free_address, wait_until


@attrs.define
class NodeKeys:
    """A certificate authority and the key files of one node."""

    authority: trustme.CA
    folder: Path

    def write(self, host_names: tuple[str, ...] = ("127.0.0.1",)) -> None:
        """Issues a certificate for the names and writes all files."""
        issued = self.authority.issue_cert(*host_names)
        issued.private_key_pem.write_to_path(self.folder / "key.pem")
        chain = b"".join(blob.bytes() for blob in issued.cert_chain_pems)
        (self.folder / "cert.pem").write_bytes(chain)
        self.authority.cert_pem.write_to_path(self.folder / "ca.pem")

    def open(self) -> PeerTls:
        """Returns TLS contexts that use the files."""
        paths = [self.folder / f"{n}.pem" for n in ("cert", "key", "ca")]
        return PeerTls(*map(str, paths))

    def settings(self) -> dict[str, Any]:
        """Returns the `tls` section of a node's settings."""
        return {
            "certificate": self.folder / "cert.pem",
            "key": self.folder / "key.pem",
            "authority": self.folder / "ca.pem",
        }


def make_node_keys(folder: Path, name: str = "keys") -> NodeKeys:
    """Returns the keys of a node under a new authority."""
    target = folder / name
    target.mkdir()
    keys = NodeKeys(trustme.CA(), target)
    keys.write()
    return keys


async def call_over_tls(
    server: PeerTls, client: ssl.SSLContext | None
) -> ProposeReply | PeerError:
    """Returns the server's reply to a client's call, or the client's error."""

    async def handle(sender: str, message: Any) -> ProposeReply:
        return ProposeReply(b"", "leader", False)

    address = free_address()
    listening = PeerServer(handle, "server#1")
    await listening.start(address, server.server)
    links = PeerLinks("client#1", lambda: client)
    try:
        return await links.call(address, Propose(b"x"), 2.0)
    except PeerError as error:
        return error
    finally:
        await links.close()
        await listening.stop()


class TestPeerTls:
    async def test_nodes_of_one_authority_connect(self, tmp_path: Path) -> None:
        tls = make_node_keys(tmp_path).open()
        assert isinstance(await call_over_tls(tls, tls.client), ProposeReply)

    async def test_a_plain_connection_is_refused(self, tmp_path: Path) -> None:
        tls = make_node_keys(tmp_path).open()
        assert isinstance(await call_over_tls(tls, None), PeerError)

    async def test_a_client_of_another_authority_is_refused(
        self, tmp_path: Path
    ) -> None:
        tls = make_node_keys(tmp_path).open()
        other = make_node_keys(tmp_path, "other").open()
        assert isinstance(await call_over_tls(tls, other.client), PeerError)

    async def test_a_client_without_certificate_is_refused(
        self, tmp_path: Path
    ) -> None:
        keys = make_node_keys(tmp_path)
        anonymous = ssl.create_default_context(
            cafile=str(keys.folder / "ca.pem")
        )
        anonymous.check_hostname = False
        anonymous.set_alpn_protocols(["h2"])
        assert isinstance(
            await call_over_tls(keys.open(), anonymous), PeerError
        )

    async def test_a_reloaded_certificate_is_used(self, tmp_path: Path) -> None:
        keys = make_node_keys(tmp_path)
        tls = keys.open()
        keys.write(("127.0.0.2",))
        tls.reload()
        assert isinstance(await call_over_tls(tls, tls.client), ProposeReply)


@pytest.mark.process
class TestNodesOverTls:
    def test_reloaded_keys_do_not_interrupt_streams(
        self, tmp_path: Path
    ) -> None:
        keys = make_node_keys(tmp_path)
        deployment = make_small_deployment(tmp_path, {"tls": keys.settings()})
        with deployed(deployment):
            configure(deployment)
            node = deployment.nodes["n1"]
            assert chat(node, "a1").status == 200
            _, chunks = open_stream(node, "a1", max_tokens=300)
            next(chunks)
            keys.write()
            for other in deployment.nodes.values():
                assert other.running is not None
                other.running.signal(signal.SIGHUP)
            assert b"".join(chunks).rstrip().endswith(b"data: [DONE]")

            def reloaded() -> bool:
                return "certificates_reloaded" in node.log.read_text()

            wait_until(reloaded, "the certificates are reloaded")
            assert chat(node, "a3").status == 200
