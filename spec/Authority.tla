----------------------------- MODULE Authority -----------------------------
(***************************************************************************)
(* Who may act for one shard of an availability zone (design, section 7). *)
(* Three panel members; A owns the shard at first, B and C may take it     *)
(* over. Time is coarse: Tick advances every timer by one step.           *)
(*                                                                         *)
(* Faults. Every step of a member is optional, so a lost message, a store  *)
(* out of reach, a paused member and both sides of a partition are runs    *)
(* in which the respective steps do not occur. A lost response after an    *)
(* effect and a restart that forgets everything are steps of their own.    *)
(*                                                                         *)
(* Each BOOLEAN constant is one rule. With all of them TRUE the module     *)
(* must be safe; with any single one FALSE TLC must find a violation.      *)
(*                                                                         *)
(* Not shown as needed by this model: that the second round compares       *)
(* incarnations. With three seats the remover is itself one of the two     *)
(* voters and forgets the round when it restarts; the comparison matters   *)
(* from five seats on. Also outside the model: joining members, a host     *)
(* with two runs at the same time, and drift between clocks.               *)
(***************************************************************************)
EXTENDS Naturals, Sequences, FiniteSets

CONSTANTS
    A, B, C,
    L,                       \* a read gives authority for L steps from sending
    H,                       \* a promise holds for H steps
    MaxVersion,              \* bound of the record's version
    MaxRestarts,             \* bound of restarts of B
    Transfers,               \* whether A may transfer the shard voluntarily
    Removers,                \* members that run removals
    Subjects,                \* members that may be removed
    CheckBeforeAction,       \* authority is checked before each dispatch
    GenerationCheck,         \* the guard refuses a dispatch that is older than one step
    RemovingStopsRenewal,    \* a read that shows the member as removing gives nothing
    CountFromSending,        \* authority counts from when the read was sent
    MajorityAdoption,        \* a removal needs the adoption of a majority
    SecondRound,             \* adoptions are confirmed after all were collected
    NoRunningPromise,        \* the second round requires that no promise is running
    LateAfterPromise,        \* a promise counts as running until a late dispatch under it is over
    WaitAfterMark,           \* a removal waits L and the time of a late dispatch
    WaitAfterRestart,        \* a started member does not vote for H
    LearnBeforeVote,         \* a started member learns the highest version before it votes
    OneChangeAtATime,        \* majorities are those of the panel before unfinished changes
    GiveUpBeforeTransfer,    \* the owner stops acting before it writes a transfer
    ReadAfterLostResponse    \* after a lost response nothing is concluded before a read

Hosts == {A, B, C}
Late == 1                    \* steps by which an accepted dispatch may follow its check
Linger == IF LateAfterPromise THEN Late ELSE 0
Wait == IF WaitAfterMark THEN L + Late ELSE 0
Max(x, y) == IF x > y THEN x ELSE y
Dec(x) == IF x > 0 THEN x - 1 ELSE 0

VARIABLES
    log,        \* the records written so far; the last one is in the store
    ver,        \* version known to a host, 0 if none
    inc,        \* incarnation of a host; the record names incarnation 0
    auth,       \* steps of authority left
    read,       \* A's read that is under way: version shown (0: none), steps of authority it would give
    ask,        \* A's round of promises: steps left, hosts that promised
    promise,    \* steps until a host's promise to A, and a dispatch under it, are over
    wait,       \* steps until the promises that a started host has forgotten are over
    learned,    \* whether a started host knows the highest version
    heard,      \* peers that a started host has learned from
    round,      \* a remover's round: subject, version, adopters, confirmers, steps since it knew the mark
    checked,    \* A's dispatch between check and arrival: 0 none, else 1 + age
    transfer,   \* A's transfer: version it is based on (0: none), whether its write may still take effect
    gave,       \* whether A has stopped acting for the shard
    bad         \* whether the guard accepted a dispatch of A while another member could act

vars == <<log, ver, inc, auth, read, ask, promise, wait, learned, heard, round, checked, transfer, gave, bad>>

None == "none"
NoRead == [v |-> 0, left |-> 0]
NoAsk == [left |-> 0, got |-> {}]
NoRound == [s |-> None, v |-> 0, ad |-> {}, cf |-> {}, age |-> 0]
NoTransfer == [base |-> 0, open |-> FALSE]

Init ==
    /\ log = <<[members |-> Hosts, removing |-> {}, owner |-> A]>>
    /\ ver = [h \in Hosts |-> 1]
    /\ inc = [h \in Hosts |-> 0]
    /\ auth = [h \in Hosts |-> 0]
    /\ read = NoRead
    /\ ask = NoAsk
    /\ promise = [h \in {B, C} |-> 0]
    /\ wait = [h \in {B, C} |-> 0]
    /\ learned = [h \in {B, C} |-> TRUE]
    /\ heard = [h \in {B, C} |-> {}]
    /\ round = [h \in Removers |-> NoRound]
    /\ checked = 0
    /\ transfer = NoTransfer
    /\ gave = FALSE
    /\ bad = FALSE

-----------------------------------------------------------------------------
Now == Len(log)
Stored == log[Now]
Active(h, v) == v > 0 /\ h \in log[v].members \ log[v].removing
Majority(v) == Cardinality(log[v].members) \div 2 + 1
Voting(h) == IF h = A THEN TRUE ELSE learned[h] /\ wait[h] <= Linger
Owns(h) == ver[h] > 0 /\ inc[h] = 0 /\ log[ver[h]].owner = h /\ ~(h = A /\ gave)
MayAct(h) == auth[h] > 0 /\ Owns(h)

(* A host learns a version; a round or read of A on an older version ends. *)
Learn(h, v) == ver' = [ver EXCEPT ![h] = Max(@, v)]
AskAfter(h, v) == ask' = IF h = A /\ v > ver[A] THEN NoAsk ELSE ask

(* A learns whether its transfer is decided: a later version is known. *)
Decide(h, v) ==
    IF h = A /\ transfer.base > 0 /\ v > transfer.base
    THEN transfer' = NoTransfer /\ gave' = FALSE
    ELSE UNCHANGED <<transfer, gave>>

Shows(h, v) == IF RemovingStopsRenewal THEN Active(h, v) ELSE h \in log[v].members

-----------------------------------------------------------------------------
(* (a) Renewal by reads. A's response may be late; those of B and C are not. *)
SendRead ==
    /\ read' = [v |-> Now, left |-> L]
    /\ read.v = 0
    /\ UNCHANGED <<log, ver, inc, auth, ask, promise, wait, learned, heard, round, checked, transfer, gave, bad>>

ReadArrives ==
    /\ read.v > 0
    /\ Learn(A, read.v) /\ AskAfter(A, read.v) /\ Decide(A, read.v)
    /\ auth' = IF Shows(A, read.v)
               THEN [auth EXCEPT ![A] = Max(@, IF CountFromSending THEN read.left ELSE L)]
               ELSE auth
    /\ read' = NoRead
    /\ UNCHANGED <<log, inc, promise, wait, learned, heard, round, checked, bad>>

ReadAtOnce(h) ==
    /\ Learn(h, Now)
    /\ auth' = IF inc[h] = 0 /\ Shows(h, Now) /\ Stored.owner = h THEN [auth EXCEPT ![h] = L] ELSE auth
    /\ learned' = [learned EXCEPT ![h] = TRUE]
    /\ heard' = [heard EXCEPT ![h] = {}]
    /\ UNCHANGED <<log, inc, read, ask, promise, wait, round, checked, transfer, gave, bad>>

(* (b) Renewal by promises on one version, which A counts from its request on. *)
Ask ==
    /\ Active(A, ver[A]) /\ Cardinality(log[ver[A]].members) >= 3
    /\ ask' = [left |-> H, got |-> {A}]
    /\ UNCHANGED <<log, ver, inc, auth, read, promise, wait, learned, heard, round, checked, transfer, gave, bad>>

Promise(p) ==
    /\ ask.left > 0 /\ Voting(p) /\ ver[p] = ver[A] /\ Active(A, ver[p])
    /\ promise' = [promise EXCEPT ![p] = H + Linger]
    /\ LET got == ask.got \cup {p} IN
        \/ /\ ask' = [ask EXCEPT !.got = got]
           /\ auth' = IF Cardinality(got) >= Majority(ver[A]) THEN [auth EXCEPT ![A] = Max(@, ask.left)] ELSE auth
        \/ UNCHANGED <<ask, auth>>  \* the response is lost
    /\ UNCHANGED <<log, ver, inc, read, wait, learned, heard, round, checked, transfer, gave, bad>>

-----------------------------------------------------------------------------
(* Removal. Write appends a record; its writer may lose the response. *)
Write(h, record) ==
    /\ ver[h] = Now /\ Now < MaxVersion
    /\ log' = Append(log, record)
    /\ ver' = [ver EXCEPT ![h] = Now + 1] \/ UNCHANGED ver

Mark(r, s) ==
    /\ s # r /\ Active(r, Now) /\ Active(s, Now) /\ inc[r] = 0
    /\ Write(r, [Stored EXCEPT !.removing = @ \cup {s}])
    /\ UNCHANGED <<inc, auth, read, ask, promise, wait, learned, heard, round, checked, transfer, gave, bad>>

(* The remover starts to wait when it knows the mark. A newer version starts new rounds. *)
StartRound(r, s) ==
    /\ ver[r] > 0 /\ s \in log[ver[r]].removing /\ inc[r] = 0
    /\ round[r].v # ver[r]
    /\ round' = [round EXCEPT ![r] = [s |-> s, v |-> ver[r], ad |-> {}, cf |-> {},
                                      age |-> IF @.s = s THEN @.age ELSE 0]]
    /\ UNCHANGED <<log, ver, inc, auth, read, ask, promise, wait, learned, heard, checked, transfer, gave, bad>>

Panel(v) == IF OneChangeAtATime THEN log[v].members ELSE log[v].members \ log[v].removing
Needed(v) ==
    LET n == Cardinality(Panel(v))
        m == n \div 2 + 1
    IN IF ~MajorityAdoption THEN 0
       ELSE IF OneChangeAtATime THEN (IF m < n - 1 THEN m ELSE n - 1) ELSE m

(* A voter adopts the version, and may count as an adopter if it votes. *)
Adopt(p, r) ==
    /\ round[r].s # None /\ p # round[r].s /\ p \in log[round[r].v].members
    /\ \A e \in round[r].ad : e.host # p
    /\ Learn(p, round[r].v) /\ AskAfter(p, round[r].v) /\ Decide(p, round[r].v)
    /\ round' = IF Voting(p)
                THEN [round EXCEPT ![r].ad = @ \cup {[host |-> p, inc |-> inc[p]]}]
                ELSE round
    /\ UNCHANGED <<log, inc, auth, read, promise, wait, learned, heard, checked, bad>>

Confirm(p, r) ==
    /\ round[r].s # None /\ p \notin round[r].cf
    /\ Cardinality(round[r].ad) >= Needed(round[r].v)
    /\ [host |-> p, inc |-> inc[p]] \in round[r].ad
    /\ Voting(p) /\ ver[p] >= round[r].v
    /\ ~NoRunningPromise \/ round[r].s # A \/ (promise[p] = 0 /\ wait[p] = 0)
    /\ round' = [round EXCEPT ![r].cf = @ \cup {p}]
    /\ UNCHANGED <<log, ver, inc, auth, read, ask, promise, wait, learned, heard, checked, transfer, gave, bad>>

Agreed(r) ==
    IF SecondRound
    THEN Cardinality(round[r].cf) >= Needed(round[r].v)
    ELSE Cardinality(round[r].ad) >= Needed(round[r].v)

Remove(r) ==
    LET s == round[r].s IN
    /\ s # None /\ round[r].v = Now /\ Agreed(r) /\ round[r].age >= Wait /\ Active(r, Now)
    /\ Write(r, [members |-> Stored.members \ {s}, removing |-> Stored.removing \ {s},
                 owner |-> IF Stored.owner = s THEN r ELSE Stored.owner])
    /\ round' = [round EXCEPT ![r] = NoRound]
    /\ UNCHANGED <<inc, auth, read, ask, promise, wait, learned, heard, checked, transfer, gave, bad>>

-----------------------------------------------------------------------------
(* Restart of a voter, and how it learns the highest version again. *)
Restart(h) ==
    /\ inc[h] < MaxRestarts
    /\ inc' = [inc EXCEPT ![h] = @ + 1]
    /\ ver' = [ver EXCEPT ![h] = 0]
    /\ auth' = [auth EXCEPT ![h] = 0]
    /\ promise' = [promise EXCEPT ![h] = 0]
    /\ wait' = [wait EXCEPT ![h] = IF WaitAfterRestart THEN H + Linger ELSE 0]
    /\ learned' = [learned EXCEPT ![h] = FALSE]
    /\ heard' = [heard EXCEPT ![h] = {}]
    /\ round' = [x \in Removers |-> IF x = h THEN NoRound ELSE round[x]]
    /\ UNCHANGED <<log, read, ask, checked, transfer, gave, bad>>

Hear(h, p) ==
    /\ ~learned[h] /\ p # h /\ Voting(p) /\ p \notin heard[h]
    /\ LET from == heard[h] \cup {p}
           v == Max(ver[h], ver[p])
           enough == Cardinality(from \cap log[v].members) >= Majority(v)
       IN /\ ver' = [ver EXCEPT ![h] = v]
          /\ learned' = [learned EXCEPT ![h] = enough \/ ~LearnBeforeVote]
          /\ heard' = [heard EXCEPT ![h] = IF learned'[h] THEN {} ELSE from]
    /\ UNCHANGED <<log, inc, auth, read, ask, promise, wait, round, checked, transfer, gave, bad>>

-----------------------------------------------------------------------------
(* A's dispatches. The stamp is at most as new as the check, so one age is enough. A transfer hands over the *)
(* claims of the dispatches under way, so they no longer count. *)
Check ==
    /\ checked = 0
    /\ IF CheckBeforeAction THEN MayAct(A) ELSE Owns(A)
    /\ checked' = 1
    /\ UNCHANGED <<log, ver, inc, auth, read, ask, promise, wait, learned, heard, round, transfer, gave, bad>>

Dispatch ==
    /\ checked > 0
    /\ checked' = 0
    /\ bad' = (bad \/ ((~GenerationCheck \/ checked <= 1 + Late) /\ \E h \in {B, C} : MayAct(h)))
    /\ UNCHANGED <<log, ver, inc, auth, read, ask, promise, wait, learned, heard, round, transfer, gave>>

-----------------------------------------------------------------------------
(* Voluntary transfer from A to C. The write may take effect late, and its response is always lost. *)
StartTransfer ==
    /\ Transfers /\ transfer.base = 0 /\ Owns(A) /\ Active(C, ver[A])
    /\ transfer' = [base |-> ver[A], open |-> TRUE]
    /\ gave' = GiveUpBeforeTransfer
    /\ checked' = 0
    /\ UNCHANGED <<log, ver, inc, auth, read, ask, promise, wait, learned, heard, round, bad>>

TransferTakesEffect ==
    /\ transfer.open /\ transfer.base = Now /\ Now < MaxVersion
    /\ log' = Append(log, [Stored EXCEPT !.owner = C])
    /\ transfer' = [transfer EXCEPT !.open = FALSE]
    /\ UNCHANGED <<ver, inc, auth, read, ask, promise, wait, learned, heard, round, checked, gave, bad>>

AssumeNoEffect ==
    /\ ~ReadAfterLostResponse /\ transfer.base > 0 /\ gave
    /\ gave' = FALSE
    /\ UNCHANGED <<log, ver, inc, auth, read, ask, promise, wait, learned, heard, round, checked, transfer, bad>>

-----------------------------------------------------------------------------
Tick ==
    /\ auth' = [h \in Hosts |-> Dec(auth[h])]
    /\ read' = IF read.left <= 1 /\ CountFromSending THEN NoRead ELSE [read EXCEPT !.left = Dec(@)]
    /\ ask' = IF ask.left <= 1 THEN NoAsk ELSE [ask EXCEPT !.left = Dec(@)]
    /\ promise' = [h \in {B, C} |-> Dec(promise[h])]
    /\ wait' = [h \in {B, C} |-> Dec(wait[h])]
    /\ round' = [r \in Removers |->
                    IF round[r].s # None /\ round[r].age < Wait THEN [round[r] EXCEPT !.age = @ + 1] ELSE round[r]]
    /\ checked' = IF checked \in 1 .. (1 + Late) THEN checked + 1 ELSE checked
    /\ UNCHANGED <<log, ver, inc, learned, heard, transfer, gave, bad>>

Next ==
    \/ SendRead \/ ReadArrives \/ Ask \/ Check \/ Dispatch \/ Tick
    \/ StartTransfer \/ TransferTakesEffect \/ AssumeNoEffect
    \/ \E p \in {B, C} : ReadAtOnce(p) \/ Promise(p)
    \/ Restart(B) \/ \E q \in {A, C} : Hear(B, q)
    \/ \E r \in Removers :
        \/ \E s \in Subjects : Mark(r, s) \/ StartRound(r, s)
        \/ Remove(r)
        \/ \E p \in {B, C} : Adopt(p, r) \/ Confirm(p, r)

-----------------------------------------------------------------------------
NoTwoOwners == \A g, h \in Hosts : g # h => ~(MayAct(g) /\ MayAct(h))
NoLateDispatch == ~bad
=============================================================================
