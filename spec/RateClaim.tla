----------------------------- MODULE RateClaim -----------------------------
(***************************************************************************)
(* Who may give the tokens of one claim on a rate (docs/platform.md). A claim *)
(* is a key in the store, written under the lease of its holder and gone   *)
(* with it. Time is coarse: Tick advances every timer by one step.         *)
(*                                                                         *)
(* Faults. Every step of a host is optional, so a lost message, a store    *)
(* out of reach and a paused host are runs in which the respective steps   *)
(* do not occur. Answers of the store may be lost or late after their      *)
(* effect. Clocks go on while a host is paused.                            *)
(*                                                                         *)
(* Each BOOLEAN constant is one rule. With all of them TRUE the module     *)
(* must be safe; with any single one FALSE TLC must find a violation.      *)
(***************************************************************************)
EXTENDS Naturals

CONSTANTS
    A, B,
    L,                   \* a lease runs for L steps from the arrival of its renewal
    MaxLeases,           \* bound of the leases that a host starts
    CheckBeforeGrant,    \* an owner checks its lease before each grant
    CountFromSending,    \* an owner counts its lease from the sending of a renewal
    CountSuspension,     \* the clock of an owner counts the time in which it was suspended
    ClaimOfThisLease,    \* a claim that was confirmed under an earlier lease does not count
    StopBeforeRemoval,   \* an owner that leaves gives no tokens before it removes its key
    WriteIfAbsent        \* a claim is only written where the store has none

Hosts == {A, B}
None == "none"
Dec(x) == IF x > 0 THEN x - 1 ELSE 0

VARIABLES
    key,        \* the holder in the store, or None
    lease,      \* steps left of a host's lease in the store
    number,     \* number of the lease that a host has started last
    valid,      \* steps for which a host trusts its lease
    renewal,    \* the call of a host that is under way: state, steps since it was sent, number of its lease
    write,      \* number of the lease under which a claim was written, if the answer is under way; 0 if none
    confirmed,  \* number of the lease under which the claim was confirmed to a host; 0 if it was not
    leaving     \* whether a host leaves

vars == <<key, lease, number, valid, renewal, write, confirmed, leaving>>
Idle == [state |-> "idle", age |-> 0, lease |-> 0]

Init ==
    /\ key = None
    /\ lease = [h \in Hosts |-> 0]
    /\ number = [h \in Hosts |-> 0]
    /\ valid = [h \in Hosts |-> 0]
    /\ renewal = [h \in Hosts |-> Idle]
    /\ write = [h \in Hosts |-> 0]
    /\ confirmed = [h \in Hosts |-> 0]
    /\ leaving = [h \in Hosts |-> FALSE]

\* A host starts a lease, or renews the one that it has.
Send(h) ==
    /\ renewal[h].state = "idle"
    /\ renewal' = [renewal EXCEPT ![h] = [state |-> "sent", age |-> 0, lease |-> number[h]]]
    /\ UNCHANGED <<key, lease, number, valid, write, confirmed, leaving>>

Arrive(h) ==
    /\ renewal[h].state = "sent"
    /\ IF lease[h] > 0
       THEN /\ lease' = [lease EXCEPT ![h] = L]
            /\ renewal' = [renewal EXCEPT ![h].state = "renewed"]
       ELSE /\ lease' = lease
            /\ renewal' = [renewal EXCEPT ![h].state = "ended"]
    /\ UNCHANGED <<key, number, valid, write, confirmed, leaving>>

Trust(h) == IF CountFromSending
            THEN IF renewal[h].age >= L THEN 0 ELSE L - renewal[h].age
            ELSE L

Renewed(h) ==
    /\ renewal[h].state = "renewed"
    /\ valid' = [valid EXCEPT ![h] = IF Trust(h) > valid[h] THEN Trust(h) ELSE valid[h]]
    /\ renewal' = [renewal EXCEPT ![h] = Idle]
    /\ UNCHANGED <<key, lease, number, write, confirmed, leaving>>

\* The host hears that it has no lease, and starts another one.
Ended(h) ==
    /\ renewal[h].state = "ended"
    /\ number[h] < MaxLeases
    /\ lease[h] = 0
    /\ number' = [number EXCEPT ![h] = @ + 1]
    /\ lease' = [lease EXCEPT ![h] = L]
    /\ valid' = [valid EXCEPT ![h] = L]
    /\ renewal' = [renewal EXCEPT ![h] = Idle]
    /\ UNCHANGED <<key, write, confirmed, leaving>>

Lost(h) ==
    /\ renewal[h].state # "idle"
    /\ renewal' = [renewal EXCEPT ![h] = Idle]
    /\ UNCHANGED <<key, lease, number, valid, write, confirmed, leaving>>

\* The store accepts a claim under the host's present lease; one of the host itself may be written again.
Claim(h) ==
    /\ ~leaving[h]
    /\ lease[h] > 0
    /\ write[h] = 0
    /\ key \in {None, h} \/ ~WriteIfAbsent
    /\ key' = h
    /\ write' = [write EXCEPT ![h] = number[h]]
    /\ UNCHANGED <<lease, number, valid, renewal, confirmed, leaving>>

Confirm(h) ==
    /\ write[h] # 0
    /\ confirmed' = [confirmed EXCEPT ![h] =
           IF leaving[h] \/ (ClaimOfThisLease /\ write[h] # number[h]) THEN @ ELSE write[h]]
    /\ write' = [write EXCEPT ![h] = 0]
    /\ UNCHANGED <<key, lease, number, valid, renewal, leaving>>

LostConfirmation(h) ==
    /\ write[h] # 0
    /\ write' = [write EXCEPT ![h] = 0]
    /\ UNCHANGED <<key, lease, number, valid, renewal, confirmed, leaving>>

Leave(h) ==
    /\ ~leaving[h]
    /\ confirmed[h] # 0
    /\ leaving' = [leaving EXCEPT ![h] = TRUE]
    /\ confirmed' = IF StopBeforeRemoval THEN [confirmed EXCEPT ![h] = 0] ELSE confirmed
    /\ UNCHANGED <<key, lease, number, valid, renewal, write>>

Remove(h) ==
    /\ leaving[h]
    /\ key = h
    /\ key' = None
    /\ UNCHANGED <<lease, number, valid, renewal, write, confirmed, leaving>>

\* Time passes. A suspended host whose clock stands still trusts its lease for longer than it runs.
Tick ==
    /\ lease' = [h \in Hosts |-> Dec(lease[h])]
    /\ key' = IF key # None /\ lease[key] <= 1 THEN None ELSE key
    /\ \E counted \in SUBSET Hosts :
        /\ CountSuspension => counted = Hosts
        /\ valid' = [h \in Hosts |-> IF h \in counted THEN Dec(valid[h]) ELSE valid[h]]
    /\ renewal' = [h \in Hosts |->
           IF renewal[h].state = "idle" \/ renewal[h].age >= L THEN renewal[h]
           ELSE [renewal[h] EXCEPT !.age = @ + 1]]
    /\ UNCHANGED <<number, write, confirmed, leaving>>

Next ==
    \/ Tick
    \/ \E h \in Hosts :
        \/ Send(h) \/ Arrive(h) \/ Renewed(h) \/ Ended(h) \/ Lost(h)
        \/ Claim(h) \/ Confirm(h) \/ LostConfirmation(h)
        \/ Leave(h) \/ Remove(h)

\* Whether a host would give a token now.
Gives(h) ==
    /\ confirmed[h] # 0
    /\ ClaimOfThisLease => confirmed[h] = number[h]
    /\ CheckBeforeGrant => valid[h] > 0

\* Whoever gives tokens has the claim in the store, so nobody else can have it.
OnlyTheHolderGives == \A h \in Hosts : Gives(h) => key = h
=============================================================================
