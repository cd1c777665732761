Feature: Members of a failure domain
  The VMs of a failure domain must agree soon on the live members. A VM that
  counts a dead member as an owner loses its callers' packets, and one that
  confirms a live member dead moves upstreams without need.

  Scenario: A killed VM is confirmed dead everywhere
    Packets to a dead owner get no answer until the others have confirmed it
    dead. Probes stay unanswered, then the suspicion times out.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b cz-c"
    When the fleet loses "cz-a-1" abruptly
    Then within 3.5 s the fleet counts 2 members in "cz-a"
    And the fleet's "cz-a-2" is quorate within 0 s

  Scenario: A rack's loss takes several VMs at once
    Half of a failure domain stops answering at once. The others suspect several
    members together, and each has to pass its suspicion timeout.

    Given a fleet of 8 entry VMs in each of "cz-a cz-b"
    When the fleet loses "cz-a-1 cz-a-2 cz-a-3" abruptly
    Then within 5 s the fleet counts 5 members in "cz-a"
    And the fleet's "cz-a-4" is quorate within 0 s

  Scenario: All VMs of a failure domain restart together
    New processes start under their old names on new hosts while the others
    still have the old members and the list contains both.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b cz-c"
    When the fleet's "cz-a-1 cz-a-2 cz-a-3" are restarted together
    Then within 5 s the fleet counts 3 members in "cz-a"
    And for 10 s the fleet always has 3 members in "cz-a"

  Scenario: Packet loss confirms no member dead
    Every third packet is lost for a minute, and probes fail repeatedly. A live
    owner could be confirmed dead and its upstreams moved back and forth.

    Given a fleet of 5 entry VMs in each of "cz-a cz-b"
    And the fleet's network loses 30 % of all packets
    Then for 30 s the fleet always has 5 members in "cz-a"

  Scenario: A one-way partition confirms no member dead
    One VM receives nothing from another, while all others do. Its own probes
    fail; only indirect probes show that the other is alive.

    Given a fleet of 4 entry VMs in each of "cz-a cz-b"
    When the fleet's "cz-a-1" receives nothing from "cz-a-2"
    Then for 20 s the fleet always has 4 members in "cz-a"
    And the fleet has suspected nobody

  Scenario: A paused VM is confirmed dead and rejoins
    A VM is paused for ten seconds and resumes with its old member states. It
    must not act as an owner before the others have answered again, and must not
    confirm them dead for messages missed during its own pause.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b"
    When the fleet's "cz-a-1" is paused for 10 seconds
    Then the fleet's "cz-a-1" is not quorate within 0 s
    And the fleet's "cz-a-1" is quorate within 2 s
    And within 3 s the fleet counts 3 members in "cz-a"
    And for 10 s the fleet always has 3 members in "cz-a"

  Scenario: A short pause is noticed before anything is dispatched
    A VM is paused for two seconds. It resumes with recent messages of all
    members, while the others may be about to take over its upstreams.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b"
    When the fleet's "cz-a-1" is paused for 2 seconds
    Then the fleet's "cz-a-1" is not quorate within 0 s
    When the fleet runs for 0.001 seconds
    Then the fleet's "cz-a-1" is not quorate within 0 s
    And the fleet's "cz-a-1" is quorate within 1 s

  Scenario: A partitioned VM stops and rejoins
    It receives nothing while the others confirm it dead and take over its
    upstreams. After the partition heals both sides have the other as dead, so
    neither would probe first.

    Given a fleet of 3 entry VMs in each of "cz-a"
    When the fleet's "cz-a-1" is cut off from all others
    Then the fleet's "cz-a-1" is not quorate within 3.5 s
    And the fleet's "cz-a-1" is quorate within 14 s
    When the fleet runs for 20 seconds
    And the fleet's cuts heal
    Then within 6 s the fleet counts 3 members in "cz-a"

  Scenario: A clock that jumps ahead confirms no member dead
    A VM's clock is set an hour ahead while it runs, as by a faulty time server.
    Its next heartbeats carry times that no other VM has.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b"
    When the fleet's "cz-a-1" sets its clock 3600 s ahead
    Then for 10 s the fleet always has 3 members in "cz-a"
    And the fleet's "cz-a-1" is quorate within 0 s

  Scenario: A VM restarts with a clock that was set back
    Its new sequence numbers are below those of its old process, so the others
    reject its heartbeats as replayed until they have sent it a floor.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b"
    When the fleet's "cz-a-1" restarts with its clock 3600 s behind
    Then within 5 s the fleet counts 3 members in "cz-a"
    And for 10 s the fleet always has 3 members in "cz-a"

  Scenario: The platform's list neither removes nor revives members
    The list is stale: it contains a dead VM and lacks one that started since.
    If it were trusted, it would revive the dead VM every few seconds.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b"
    And the fleet's platform list has stopped changing
    When the fleet loses "cz-a-1" abruptly
    Then within 3.5 s the fleet counts 2 members in "cz-a"
    And for 40 s the fleet always has 2 members in "cz-a"

  Scenario: A leaving VM owns nothing and still gets relayed packets
    A planned stop hands the upstreams over first. Until that is done, packets
    with its cookies must still reach it.

    Given a fleet of 3 entry VMs in each of "cz-a cz-b"
    When the fleet's "cz-a-1" leaves
    Then in 1 s the fleet's "cz-a-2" counts 2 in "cz-a"
    And within 2 s the fleet counts 2 members in "cz-a"
    And the fleet still relays to "cz-a-1"

  Scenario: Partitioned failure domains detect it and heal
    Two failure domains are partitioned. Packets relayed between them would be
    lost, so each has to stop using the other.

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
