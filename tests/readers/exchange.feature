Feature: What a node takes from other nodes
  Datagrams between nodes may be lost, doubled, late, forged or garbled.

  Scenario: What is written is read alike
    When changes, removals and odd bytes are written and read again
    Then they are the same

  Scenario: Garbled datagrams are told from messages
    # Anything may arrive at a port; none of it may end a node or make it
    # unpack without bound.
    When 20000 random and garbled datagrams are read
    Then each was refused or is a sound message
    And a datagram that would unpack to 64 MB is refused

  Scenario: An update that nobody asked for changes nothing
    # A forged datagram names an upstream of its own.
    Given a node that knows revision 20 and has asked for changes
    When an update with another token arrives
    Then nothing has changed
    When an update arrives from an address that was not asked
    Then nothing has changed
    When the update that was asked for arrives
    Then the node knows revision 25

  Scenario: A late update does not take anything back
    # A reader that was cut off answers late, with what was so before.
    Given a node that knows revision 20 and has asked for changes
    When an update arrives that ends at revision 15
    Then the node knows revision 20
    And the upstream of revision 20 is still there

  Scenario: An update after a lost one makes the node ask again
    Given a node that knows revision 20 and has asked for changes
    When an update arrives that begins at revision 22
    Then the node knows revision 20
    And it asks at once for what came after 20

  Scenario: A reader's troubles with the store are not hidden
    # Entries lapsed while the store was down. The reader saw it return a
    # second ago; its follower saw no trouble. Until the entries have had time
    # to come back, none may be taken for gone.
    Given a node that knows revision 20 and has asked for changes
    When an update tells that the store has been fine for 1.0 seconds
    Then the node counts absences from 1.0 seconds ago

  Scenario: A node that has just started knows of the time before from a reader
    Guards against clients that wait until a node has itself seen the store work.
    Given a node that knows revision 20 and has asked for changes
    When an update tells that the store has been fine for 30.0 seconds
    Then the node counts absences from 30.0 seconds ago

  Scenario: A reader's later trouble counts against an earlier word
    Guards against entries that are taken for gone when the store lost them.
    Given a node that knows revision 20 and has asked for changes
    When an update tells that the store has been fine for 30.0 seconds
    And an update tells that the store has been fine for 1.0 seconds
    Then the node counts absences from 1.0 seconds ago

  Scenario: A slow machine offers itself later than a quick one
    # The domain's reader answers all of its nodes.
    When 200 nodes of 2.0 and 200 of 0.2 cores miss a reader
    Then the mean wait of the slow is at least 3 times that of the quick
    And nobody waits longer than 4.0 seconds

  Scenario: A reader that cannot renew stops to be one in time
    # The store ends its lease after 4 seconds, and another node is reader then.
    Given a node that reads for its domain
    When no renewal succeeds for 4.1 seconds
    Then it does not read for its domain any more

  Scenario: A store in trouble is not called by offers without end
    # The store is down and every lease has ended. Each domain's last reader
    # finds its own old entry, and offered itself twice a second.
    Given a node that finds its own old entry
    When its offers fail for 6 seconds
    Then it has offered itself at most 5 times

  Scenario: Of several versions that come at once the newest is learned
    # A node that was behind got two versions of a large manifest in one answer,
    # and kept packets waiting while it decoded one that was replaced already.
    Given a node that knows the store
    When it is told of manifests 2, 3 and 4 at once
    Then 1 entries were decoded
    And manifest 4 is in force

  Scenario: A reader tells the newest change of each key
    Given a log of changes that begins at revision 10
    When the key "a" changes in 11 and 13, and the key "b" in 12
    Then the log tells after 10: b of 12, a of 13
    And the log tells after 12: a of 13

  Scenario: A log that has dropped a change does not pass for complete
    # A whole reading is in the order of keys. The log dropped its first change
    # of revision 30, then one of 20, and told who knew 25 that there was none.
    Given a log of changes that begins at revision 10 and keeps 1
    When a whole reading shows "a" of 30, "b" of 20 and "c" of 15
    Then the log can't tell what came after 25

  Scenario: A whole reading is learned as what it changes
    # The history was dropped while little changed. To decode a large manifest
    # again that is in force already would keep packets waiting.
    Given a node that knows the store
    When the store is read whole after one upstream came and one went
    Then 2 entries were decoded
    And the node knows the upstreams that stand

  Scenario: Changes that pack well are not sent where nobody would unpack them
    # A manifest whose routes are much alike packs into one datagram, and who
    # gets it refuses to unpack so much: to them it is garbled, and they never
    # hear that there is more to read from the store.
    When changes of 2 MB that pack into a datagram are encoded
    Then they are left to the store
