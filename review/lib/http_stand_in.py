"""A small threaded HTTP/1.1 server and the record shared by all stand-ins."""

import json
import os
import socketserver
import threading
import time
from http.server import BaseHTTPRequestHandler
from urllib.parse import parse_qs, urlsplit


def now():
    """Seconds of the machine's monotonic clock, the same in all processes."""
    return time.monotonic()


class Record:
    """Appends one line for each event to a file shared by several processes."""

    def __init__(self, path):
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def write(self, who, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        line = f"{now():.4f} {who} {what} {text}".rstrip() + "\n"
        os.write(self._fd, line.encode())


class Server(socketserver.ThreadingMixIn, socketserver.TCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 512

    def handle_error(self, request, client_address):
        """A peer that closes its connection is no error of the stand-in."""


def serve(address, handle):
    """Serves handle(method, path, query, headers, body) -> (status, object).

    Returns the server, which runs on a thread of its own.
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def answer(self):
            length = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(length) if length else b""
            url = urlsplit(self.path)
            query = {k: v[-1] for k, v in
                     parse_qs(url.query, keep_blank_values=True).items()}
            headers = {k.lower(): v for k, v in self.headers.items()}
            status, content = handle(self.command, url.path, query, headers, body)
            data = json.dumps(content).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.wfile.flush()

        do_GET = do_POST = do_PUT = do_DELETE = answer

        def log_message(self, *args):
            pass

    host, port = address.rsplit(":", 1)
    server = Server((host, int(port)), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
