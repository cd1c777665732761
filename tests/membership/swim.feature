Feature: Members of a failure domain
  The VMs of a failure domain must agree soon on who is alive: whoever counts
  a dead VM as an owner loses its callers' packets, and whoever buries a live
  one moves upstreams without need.

  Scenario: A VM that dies without a word is buried everywhere
    A caller's packets go to a dead owner and get no answer until the others
    believe it dead. Probes stay unanswered, then the suspicion runs out.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b cz-c"
    When the fleet loses "cz-a-1" without a word
    Then within 3.5 s the fleet counts 2 members in "cz-a"
    And the fleet's "cz-a-2" is quorate within 0 s

  Scenario: A rack's loss takes several VMs at once
    Half of a failure domain falls silent in one moment. The rest doubts
    several members together, and each has to run through its suspicion.

    Given a fleet of 8 entry VMs in each of "cz-a cz-b"
    When the fleet loses "cz-a-1 cz-a-2 cz-a-3" without a word
    Then within 5 s the fleet counts 5 members in "cz-a"
    And the fleet's "cz-a-4" is quorate within 0 s

  Scenario: All VMs of a failure domain restart together
    New processes start under their old names on new hosts while the others
    still believe in the old ones and the list names both.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b cz-c"
    When the fleet's "cz-a-1 cz-a-2 cz-a-3" are restarted together
    Then within 5 s the fleet counts 3 members in "cz-a"
    And for 10 s the fleet always has 3 members in "cz-a"

  Scenario: Packet loss buries nobody
    Every third packet is lost for a minute. Probes fail again and again, and
    a live owner would be buried and its upstreams moved back and forth.

    Given a fleet of 5 entry VMs in each of "cz-a cz-b"
    And the fleet's network loses 30 % of all packets
    Then for 30 s the fleet always has 5 members in "cz-a"

  Scenario: A one-way cut buries nobody
    One VM hears nothing from another, which everybody else hears. Its own
    probes fail; only helpers can tell it that the other is alive.

    Given a fleet of 4 entry VMs in each of "cz-a cz-b"
    When the fleet's "cz-a-1" hears nothing from "cz-a-2"
    Then for 20 s the fleet always has 4 members in "cz-a"
    And the fleet has suspected nobody

  Scenario: A paused VM is buried and comes back
    A VM stands still for ten seconds and wakes with its old beliefs. It must
    not act as an owner before it has heard the others again, and must not
    bury them for the silence of its own pause.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b"
    When the fleet's "cz-a-1" is paused for 10 seconds
    Then the fleet's "cz-a-1" is not quorate within 0 s
    And the fleet's "cz-a-1" is quorate within 2 s
    And within 3 s the fleet counts 3 members in "cz-a"
    And for 10 s the fleet always has 3 members in "cz-a"

  Scenario: A short pause is noticed before anything is dispatched
    A VM stands still for two seconds. It wakes with fresh memories of having
    heard everybody, while the others may be about to take its upstreams.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b"
    When the fleet's "cz-a-1" is paused for 2 seconds
    Then the fleet's "cz-a-1" is not quorate within 0 s
    When the fleet runs for 0.001 seconds
    Then the fleet's "cz-a-1" is not quorate within 0 s
    And the fleet's "cz-a-1" is quorate within 1 s

  Scenario: A VM that is cut off alone stops and is taken back
    It hears nobody while the others bury it and take its upstreams. When the
    cut heals both sides believe the other dead, so neither would speak first.

    Given a fleet of 3 entry VMs in each of "cz-a"
    When the fleet's "cz-a-1" is cut off from all others
    Then the fleet's "cz-a-1" is not quorate within 3.5 s
    And the fleet's "cz-a-1" is quorate within 14 s
    When the fleet runs for 20 seconds
    And the fleet's cuts heal
    Then within 6 s the fleet counts 3 members in "cz-a"

  Scenario: A clock that jumps ahead buries nobody
    A VM's clock is set an hour ahead while it runs, as after a bad time
    server. Its next heartbeats carry times that nobody else has.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b"
    When the fleet's "cz-a-1" sets its clock 3600 s ahead
    Then for 10 s the fleet always has 3 members in "cz-a"
    And the fleet's "cz-a-1" is quorate within 0 s

  Scenario: A VM restarts with a clock that was set back
    Its new sequence numbers lie below those of its old process, so the others
    refuse its heartbeats as replayed until they have told it where to go on.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b"
    When the fleet's "cz-a-1" restarts with its clock 3600 s behind
    Then within 5 s the fleet counts 3 members in "cz-a"
    And for 10 s the fleet always has 3 members in "cz-a"

  Scenario: The platform's list neither buries nor brings back
    The list stands still: it names a VM that died and lacks one that started
    since. Read as truth, it would bring back the dead every few seconds.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b"
    And the fleet's platform list has stopped changing
    When the fleet loses "cz-a-1" without a word
    Then within 3.5 s the fleet counts 2 members in "cz-a"
    And for 40 s the fleet always has 2 members in "cz-a"

  Scenario: A VM that leaves owns nothing and is still relayed to
    A planned stop hands the upstreams over first. Until that is done packets
    with its cookies must still reach it.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b"
    When the fleet's "cz-a-1" leaves
    Then in 1 s the fleet's "cz-a-2" counts 2 in "cz-a"
    And within 2 s the fleet counts 2 members in "cz-a"
    And the fleet still relays to "cz-a-1"

  Scenario: Failure domains that lose each other notice it and heal
    Two failure domains are cut off from each other. Packets relayed across
    would vanish, so each has to stop counting on the other.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b cz-c"
    When the fleet's domain "cz-a" is cut off from "cz-b"
    Then in 8 s the fleet's "cz-a-1" counts 0 in "cz-b"
    And in 1 s the fleet's "cz-a-1" counts 3 in "cz-c"
    And the fleet's "cz-a-1" is quorate within 0 s
    When the fleet's cuts heal
    Then within 5 s the fleet counts 3 members in "cz-b"

  Scenario: Heartbeats cost the same in a large failure domain
    Given a fleet of 24 entry VMs in each of "cz-a cz-b"
    Then each VM of the fleet sends at most 2000 bytes a second
