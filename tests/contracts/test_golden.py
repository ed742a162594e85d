"""Guards against unintended changes of wire formats and stored rows.

A short session between real processes is recorded and compared with the files in
``golden``. After an intended change, ``pytest tests/contracts --update-golden``
rewrites them; review the difference before committing it.
"""

import difflib
import json
from pathlib import Path

import pytest
import urllib3
import yaml
from recorders import CLOCK, HttpRecorder, PeerRecorder, normalise, read_row

from pollenkeel_kernel.core.messages import TaskExchange
from pollenkeel_kernel.core.transport import PeerClient
from pollenkeel_standins.cluster import Cluster, wait_until
from pollenkeel_standins.site import FAST_TIMING, SERVICE, TEAM, make_config

GOLDEN = Path(__file__).parent / "golden"
VM = "vm-kingston"
DRAIN = "/v1/data-centres/kingston"
WAIT_SECONDS = 30.0


class Session:
    """One entry, agent, worker and upstream with a recorder on each connection."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.recorders = []
        platform = cluster.platform()
        self.platform = self.record(platform.url)
        self.to_entry, self.to_agent = PeerRecorder(), PeerRecorder()
        self.recorders += [self.to_entry, self.to_agent]
        common = {"timing": FAST_TIMING, "data_centre": "kingston"}
        common["store"] = self.platform.url
        self.entry = cluster.entry(
            "entry-0", **common, shards=1, advertise=self.to_entry.address
        )
        self.to_entry.target = self.entry.peer_address
        self.caller = self.record(self.entry.url)
        worker = cluster.worker(VM, platform.url, cores=16, memory_gb=64)
        self.worker = self.record(worker.url)
        self.apply()
        agent = cluster.agent(
            VM, **common, worker_url=self.worker.url, advertise=self.to_agent.address
        )
        self.to_agent.target = agent.peer_address
        self.upstream = self.record("")
        self.announcements = self.record(agent.url, self._redirect)
        cluster.upstream(SERVICE, VM, self.announcements.url, slots=4, work_ms=1)
        wait_until(self._is_ready, WAIT_SECONDS, "the agent is known with its upstream")
        wait_until(
            lambda: has_complete_task_list(cluster, agent),
            WAIT_SECONDS,
            "tasks are known",
        )

    def record(self, target, *options):
        recorder = HttpRecorder(target, *options)
        self.recorders.append(recorder)
        return recorder

    def _redirect(self, body):
        """Replace the upstream's announced URL by that of its recorder."""
        if not body:
            return body
        fields = json.loads(body)
        self.upstream.target, fields["url"] = fields["url"], self.upstream.url
        return json.dumps(fields).encode()

    def _is_ready(self):
        dump = self.cluster.call(self.entry, "GET", "/v1/dump")[1]
        # The dump shows agents as text; free slots come with the upstream.
        agents = str(dump["entry"]["agents"])
        return SERVICE in agents and ("True" in agents or "true" in agents)

    def call(self, method, path, value=None, **headers):
        body = value if isinstance(value, bytes | None) else json.dumps(value).encode()
        sent = {name.replace("_", "-"): text for name, text in headers.items()}
        return urllib3.request(
            method,
            self.caller.url + path,
            body=body,
            headers=sent,
            retries=False,
            timeout=30,
        )

    def apply(self):
        assert self.call("POST", "/v1/config", make_config(["kingston"])).status == 200

    def serve(self, method, path, body=None, **headers):
        path = f"/v1/services/{SERVICE}{path}"
        return self.call(method, path, body, Pollenkeel_Team=TEAM, **headers)

    def run(self):
        """Send the requests of a caller and an operator."""
        assert self.serve("GET", "/quote?width=2").status == 200
        self.serve("POST", "/vans", b"book a van", Idempotency_Key="k1")
        # The answer is stored after it was sent to the caller; until then, the entry
        # has to query the agent for it.
        wait_until(
            lambda: self._is_answer_stored("k1"), WAIT_SECONDS, "the answer is stored"
        )
        for body in (b"book a van", b"other"):
            self.serve("POST", "/vans", body, Idempotency_Key="k1")
        self._withhold_dispatch()
        self._run_job()
        assert self.call("POST", f"{DRAIN}/drain", {"change_id": "out"}).status == 200
        assert self.call("POST", f"{DRAIN}/undrain", {"change_id": "in"}).status == 200
        assert self.call("POST", f"{DRAIN}/drain", {"change_id": "out"}).status == 200

    def _withhold_dispatch(self):
        self.to_agent.hold = True
        deadline = f"{CLOCK.now() + 1:.3f}"
        lost = self.serve(
            "POST", "/lost", b"x", Idempotency_Key="k2", Pollenkeel_Deadline=deadline
        )
        assert lost.status == 504
        self.to_agent.hold = False
        self.to_agent.released.set()
        # This counts as the same request, since its digest omits the deadline.
        assert self.serve("POST", "/lost", b"x", Idempotency_Key="k2").status == 200
        wait_until(
            lambda: self._is_answer_stored("k2"), WAIT_SECONDS, "the answer is stored"
        )

    def _is_answer_stored(self, key):
        return any(
            write["key"] in self._find_claim_states(key)
            and write["value"]["state"] == "finished"
            for write in self.writes()
            if write["table"] == "claim_states"
        )

    def _find_claim_states(self, key):
        return [
            write["value"]["state_id"]
            for write in self.writes()
            if write["table"] == "claims" and write["key"].endswith(key)
        ]

    def writes(self):
        """Return the accepted row writes in order."""
        return [
            read_row(write)
            for exchange in list(self.platform.exchanges)
            if exchange["request"] == "POST /transactions" and exchange["status"] == 200
            for write in exchange["body"]["writes"]
        ]

    def _run_job(self):
        size = {"cores": 1, "memory_gb": 2, "accelerators": 0}
        task = {"task_id": "t0", "command": "run 1.5", "resources": size, "run_time": 1}
        job = {"job_id": "plans", "team": TEAM, "kind": "cutting", "deadline": 0}
        job |= {"urgent": False, "tasks": [task]}
        assert self.call("POST", "/v1/jobs", job).status == 200
        wait_until(
            self._is_task_deleted,
            WAIT_SECONDS,
            "the ended task is deleted at the worker",
        )
        for path in ("/v1/jobs/plans", "/v1/explain/plans", "/v1/jobs"):
            assert self.call("GET", path).status == 200

    def _is_task_deleted(self):
        return any(e["request"].startswith("DELETE") for e in self.worker.exchanges)

    def close(self):
        for recorder in self.recorders:
            recorder.close()


def has_complete_task_list(cluster, agent):
    """Return whether the agent reports its list of tasks as complete."""
    epoch = cluster.call(agent, "GET", "/v1/dump")[1]["agent"]["epoch"]
    client = PeerClient(agent.peer_address, CLOCK)
    now = CLOCK.now()
    exchange = TaskExchange("tester", now, epoch, 99, 1, now, shard_lease_until=now + 5)
    reply = client.call(exchange, now + 5)
    client.close()
    return reply.unwrap().complete


def first_of(exchanges, *conditions):
    """Return the first exchange for each condition; repeats depend on timing."""
    return [next(filter(condition, list(exchanges))) for condition in conditions]


def select_exchanges(session):
    """Return the recorded exchanges of each golden file."""
    worker, writes = session.worker.exchanges, session.writes()
    claims = [w for w in writes if w["table"] in ("claims", "claim_states")]
    log = [w for w in writes if w["table"] == "log"]
    peers = session.to_agent.exchanges
    return {
        "operator_and_caller": session.caller.exchanges,
        "entry_and_agent": [
            *first_of(
                session.to_entry.exchanges,
                lambda e: e["fields"]["worker_ready"] and e["fields"]["upstreams"],
            ),
            *first_of(peers, lambda e: e["message"] == "Heartbeat"),
            *[e for e in peers if e["message"] in ("Dispatch", "QueryAttempt")],
            *first_of(
                [e for e in peers if e["message"] == "TaskExchange"],
                lambda e: e["fields"]["starts"],
                lambda e: has_state(e["reply_fields"], "done"),
                lambda e: e["fields"]["acknowledged"],
            ),
        ],
        "agent_and_worker": first_of(
            worker,
            lambda e: e["request"] == "GET /v1/tasks" and not e["reply"]["tasks"],
            lambda e: e["request"].startswith("PUT"),
            lambda e: e["request"] == "POST /v1/leases" and e["reply"]["renewed"],
            lambda e: e["request"] == "GET /v1/tasks" and has_state(e["reply"], "done"),
            lambda e: e["request"].startswith("DELETE"),
        ),
        "agent_and_upstream": [
            *first_of(session.announcements.exchanges, lambda e: True),
            *session.upstream.exchanges,
        ],
        "rows": [
            *first_of(
                writes,
                *[
                    lambda w, t=table: w["table"] == t
                    for table in ("config", "owners", "entries", "log")
                ],
            ),
            *sorted(claims, key=lambda w: w["key"]),
            # The number of events in a row depends on timing, their order does not.
            {"events_of_the_job": [e for row in log for e in row["value"][2]][1:]},
        ],
    }


def has_state(reply, state):
    return any(task["state"] == state for task in reply["tasks"])


@pytest.fixture(scope="module")
def recorded(tmp_path_factory):
    with Cluster(tmp_path_factory.mktemp("golden")) as cluster:
        session = Session(cluster)
        try:
            session.run()
            return select_exchanges(session)
        finally:
            session.close()


def test_session_matches_golden_files(recorded, request):
    differences = []
    for name, exchanges in recorded.items():
        path = GOLDEN / f"{name}.yaml"
        found = yaml.safe_dump(normalise(exchanges), sort_keys=False, width=88)
        if request.config.getoption("--update-golden"):
            path.write_text(found)
        expected = path.read_text() if path.exists() else ""
        differences += difflib.unified_diff(
            expected.splitlines(),
            found.splitlines(),
            path.name,
            "this run",
            lineterm="",
        )
    assert not differences, "\n".join(differences)
