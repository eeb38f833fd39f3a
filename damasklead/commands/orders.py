"""
Orders
======

Commands on the claims of orders, which may be executed only once.
"""

from dataclasses import dataclass
from typing import Annotated, Literal

import cappa
import msgspec

from damasklead.claims import (
    CLAIMS_TABLE,
    ClaimState,
    decode_claim,
    make_claim_key,
    resolve,
)
from damasklead.commands import (
    DONE,
    FAILED,
    JsonOption,
    PlatformOption,
    UserOption,
    get_user_name,
    make_audit_event,
    report_platform_unavailable,
    scan_table,
)
from damasklead.ids import (
    WorkspaceId,
)
from damasklead.protocol import run
from damasklead.stores.http import make_http_platform

__all__ = ["Orders", "OrdersList", "OrdersResolve"]


@cappa.command(name="list", help="List claims of orders.")
@dataclass(kw_only=True)
class OrdersList:
    """Print claims of orders, by default those whose outcome is not known."""

    platform: PlatformOption
    all: Annotated[bool, cappa.Arg(long="--all", help="List settled ones too.")] = False
    json: JsonOption = False

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        claims = scan_table(
            make_http_platform(address=self.platform), CLAIMS_TABLE, decode_claim
        )
        if claims is None:
            return report_platform_unavailable()
        unsettled_states = (ClaimState.CLAIMED, ClaimState.FAILED)
        selected = [
            claim for claim in claims if self.all or claim.state in unsettled_states
        ]
        if self.json:
            print(msgspec.json.encode(selected).decode())
            return DONE
        for claim in selected:
            print(
                f"{claim.workspace}/{claim.key}  {claim.state.value}  "
                f"held by {claim.holder}"
            )
        return DONE


@cappa.command(name="resolve", help="Settle an order whose outcome is not known.")
@dataclass(kw_only=True)
class OrdersResolve:
    """Record whether an order was executed, according to the service's own records."""

    workspace: str
    key: str
    outcome: Annotated[
        Literal["ran", "not-run"], cappa.Arg(help="What the service's records show.")
    ]
    platform: PlatformOption
    who: UserOption = ""
    force: Annotated[
        bool,
        cappa.Arg(
            long="--force", help="Settle a claim whose attempt may still be running."
        ),
    ] = False

    def __call__(self) -> int:
        """Run the command and return the exit code."""
        platform = make_http_platform(address=self.platform)
        who = self.who or get_user_name()
        key = make_claim_key(WorkspaceId(self.workspace), self.key)
        event = make_audit_event(
            who, "resolve-order", key, before="unknown", after=self.outcome
        )
        steps = resolve(
            key, executed=self.outcome == "ran", event=event, force=self.force
        )
        problem = run(steps, platform)
        if problem:
            print(f"failed: {problem}")
            return FAILED
        print(f"{key} is settled as {self.outcome}")
        return DONE


@cappa.command(
    name="orders", help="List orders and settle those whose outcome is not known."
)
@dataclass(kw_only=True)
class Orders:
    """The group of commands on orders that may be executed only once."""

    command: cappa.Subcommands[OrdersList | OrdersResolve]
