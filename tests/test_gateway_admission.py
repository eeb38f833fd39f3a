"""
Tests of admission
==================

Each replays the load that a decision answers, on a paused clock.
"""

from damasklead.clock import ManualClock
from damasklead.gateway.admission import Admission, Admit, Decision, Reject
from damasklead.gateway.calls import Call, CallHead
from damasklead.gateway.routing import Route, RouteKind, RouteName
from damasklead.ids import AttemptId, ServiceName

LLM = ServiceName("llm")


def route(name: str, tier: int, target: float, timeout: float) -> Route:
    return Route(
        name=RouteName(name), host="h", prefix=f"/{name}/", kind=RouteKind.STREAM,
        timeout=timeout, target=target, tier=tier, split=((LLM, 1.0),), event_gap=0.3,
    )  # fmt: skip


REVIEW = route("review", 2, 1.5, 5.0)
QUOTE = route("quote", 1, 0.5, 3.0)


class Scene:
    """Requests to one admission, and what became of them."""

    def __init__(self) -> None:
        self.clock = ManualClock(start=100.0)
        self.admission = Admission(clock=self.clock)
        self.admitted: list[str] = []
        self.rejected: dict[str, Reject] = {}
        self.calls: dict[str, Call] = {}

    def submit(self, name: str, kind: Route, *, patience: float | None = None) -> None:
        now = self.clock.now()
        patience = kind.timeout if patience is None else patience
        head = CallHead(
            method="POST", target="/", host="h", attempt=AttemptId(name),
            patience=patience, key=None,
        )  # fmt: skip
        self.calls[name] = Call(
            head=head, route=kind, service=LLM, workspace=None, arrival=now,
            deadline=now + min(patience, kind.timeout), caller_deadline=now + patience,
            tier=kind.tier,
        )  # fmt: skip
        self.take(self.admission.submit(self.calls[name]))

    def begin(self, name: str) -> None:
        self.take(self.admission.began(self.calls[name]))

    def tick(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.take(self.admission.tick())

    def take(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Admit):
                self.admitted.append(decision.call.id)
            else:
                self.rejected[decision.call.id] = decision


def test_a_calm_load_is_sent_at_once() -> None:
    scene = Scene()
    for number in range(40):
        scene.submit(f"r{number}", REVIEW)
        scene.tick(0.1)
        scene.begin(f"r{number}")
    assert len(scene.admitted) == 40 and scene.admission.waiting == 0


def test_a_burst_is_kept_back_and_the_window_follows_the_engines() -> None:
    scene = Scene()
    for number in range(30):
        scene.submit(f"r{number}", REVIEW)
    first = len(scene.admitted)
    assert first < 10 and scene.admission.waiting == 30 - first
    for _ in range(4):
        scene.tick(1.0)
        scene.begin(scene.admitted[0])
    assert scene.admission.window < 3


def test_a_more_urgent_tier_is_not_held_up_by_a_less_urgent_one() -> None:
    scene = Scene()
    for number in range(30):
        scene.submit(f"r{number}", REVIEW)
    scene.submit("q", QUOTE)
    assert scene.admitted[-1] == "q"


def test_requests_that_can_be_in_time_go_before_late_ones() -> None:
    scene = Scene()
    for number in range(12):
        scene.submit(f"old{number}", REVIEW)
    waiting = [name for name in scene.calls if name not in scene.admitted]
    scene.tick(1.6)
    scene.submit("fresh", REVIEW)
    for name in list(scene.admitted):
        scene.begin(name)
    later = [name for name in scene.admitted if name in waiting or name == "fresh"]
    assert later[0] == "fresh"


def test_a_caller_that_came_back_goes_before_those_that_came_later() -> None:
    scene = Scene()
    for number in range(8):
        scene.submit(f"r{number}", REVIEW)
    scene.submit("back", REVIEW, patience=4.2)
    for name in list(scene.admitted):
        scene.begin(name)
        if "back" in scene.admitted:
            break
    waiting = {"r6", "r7"} - set(scene.admitted)
    assert "back" in scene.admitted and waiting


def test_what_can_not_be_served_is_refused_at_once_with_spread_returns() -> None:
    scene = Scene()
    for number in range(120):
        scene.submit(f"q{number}", QUOTE)
    assert scene.rejected and all(
        0.2 <= item.retry_after <= 1.0 for item in scene.rejected.values()
    )
    assert len({item.retry_after for item in scene.rejected.values()}) > 3


def test_nothing_waits_beyond_the_time_in_which_it_is_of_use() -> None:
    scene = Scene()
    for number in range(10):
        scene.submit(f"q{number}", QUOTE)
    for _ in range(30):
        scene.tick(0.1)
    assert scene.admission.waiting == 0
    assert len(scene.admitted) + len(scene.rejected) == 10


def test_a_request_that_ends_makes_room() -> None:
    scene = Scene()
    for number in range(7):
        scene.submit(f"r{number}", REVIEW)
    assert "r6" not in scene.admitted
    scene.take(scene.admission.ended(scene.calls["r0"]))
    assert "r6" in scene.admitted
