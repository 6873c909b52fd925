#!/usr/bin/env python3
"""Runs a gateway whose log has no reader. Guards against a process that ends with SIGPIPE when its log pipe is closed."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

LOG_PERIOD_SECONDS = 1.0  # the log is written several times within it
STOP_SECONDS = 4


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def main():
    program = pathlib.Path(os.environ["LOVAGECLEAT_BUILD"]) / "bin" / "lovagecleat-gateway"
    settings = {"host": "h", "zone": "z", "bounds": {"stop_s": STOP_SECONDS},
                **{name: free_address() for name in ("callers", "readiness", "peers", "store")}}
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.json"
        path.write_text(json.dumps(settings))
        reader, writer = os.pipe()
        process = subprocess.Popen([program, "--settings", path], stdout=writer)
        os.close(writer)
        os.close(reader)
        try:
            time.sleep(LOG_PERIOD_SECONDS)
            if process.poll() is not None:
                sys.exit(f"the gateway ended with {process.returncode}, expected it to run without a reader of its log")
            process.send_signal(signal.SIGTERM)
            code = process.wait(2 * STOP_SECONDS)
        finally:
            process.kill()
            process.wait()
        if code != 0:
            sys.exit(f"the gateway stopped with {code}, expected 0")


if __name__ == "__main__":
    main()
