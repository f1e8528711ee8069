"""Starts gateways with the deploy file's command, as the platform does."""

import os
import pathlib
import re
import signal
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PLACE = re.compile(r"\{\{([^{}#^/]+)\}\}")
SECTION = re.compile(r"\{\{#([^{}]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
SETTINGS_PATH = "/etc/eelgrassrack/boot.conf"

# What DEPLOY.md shows for a machine of a small deployment, as far as the template of
# the deploy file asks for it.
FIELDS = {
    "zone": "lansing",
    "seedNodes": "",
    "bounds.graceS": "8",
    "bounds.drainMs": "2000",
    "bounds.configMs": "2000",
    "bounds.evacuationMs": "5000",
    "bounds.rollbackMs": "5000",
    "bounds.retryBudgetRatio": "0.9",
    "bounds.budgetWindowS": "10",
    "bounds.retryBudgetSlack": "58",
    "bounds.exposureShare": "0.15",
    "bounds.exposureSlack": "30",
    "bounds.coldOverage": "1.5",
    "bounds.coldSlack": "5",
    "bounds.reuseWindowS": "9.7",
    "bounds.sessionS": "5",
    "limits.linkMbps": "1000.0",
    "limits.memoryMb": "300",
}


def render(template: str, fields: dict[str, str]) -> str:
    """Fill a template of the deploy file as DEPLOY.md describes it."""

    def fill(match: re.Match) -> str:
        value = fields.get(match[1], "")
        return PLACE.sub(value, match[2]) if value else ""

    text = SECTION.sub(fill, template)
    return PLACE.sub(lambda match: fields.get(match[1], ""), text)


class Gateway:
    """One gateway process at an address of its own."""

    def __init__(
        self,
        *,
        name: str,
        ip: str,
        ports: list[int],
        store: str,
        folder: pathlib.Path,
        zone: str = "lansing",
        fields: dict[str, str] | None = None,
    ) -> None:
        frontend, readiness, news, metrics = ports
        self.address = (ip, frontend)
        self.readiness = (ip, readiness)
        self.log = folder / f"{name}.log"
        self._folder = folder
        self._path = folder / f"{name}.conf"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["entry"]
        self._fields = {
            **FIELDS,
            "nodeName": name,
            "zone": zone,
            "ip": ip,
            "listen.frontend": f"{ip}:{frontend}",
            "listen.readiness": f"{ip}:{readiness}",
            "internalPorts.0": str(news),
            "internalPorts.1": str(metrics),
            "platform.address": store,
            **(fields or {}),
        }
        self.process: subprocess.Popen | None = None

    def write_settings(self, **changed: str) -> None:
        """Write the settings file from the deploy file's template."""
        self._fields.update(changed)
        template = (ROOT / self._role["template"]).read_text()
        self._path.write_text(render(template, self._fields))

    def start(self) -> None:
        """Start the process with the deploy file's command."""
        self.write_settings()
        words = self._role["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["EELGRASSRACK_SETTINGS"] = str(self._path)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [word.replace(SETTINGS_PATH, str(self._path)) for word in words],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process, if it runs, and reap it."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()
