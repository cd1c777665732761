Feature: Large changes reach nodes behind slow links
  A large manifest exceeds a datagram, so each node reads it from the store over
  its own link. The links are simulated in virtual time.

  Scenario: A manifest that grows and changes again is in force in time
    # Callers were routed by a manifest that had been replaced more than five
    # seconds before. It had grown by many routes and changed again within a
    # second. The timeout of a store call covered its complete answer, which
    # took longer over a slow link, so nodes repeated the call for 20 seconds.
    # The store answered every call, only nodes with slow links were late, and
    # their logs show 838 truncated answers, none with more than 452 of 622 KB.
    Given a fleet of 12 nodes in 3 domains
    And links of 5 Mbit/s for all nodes but the readers
    When a manifest of 1500 routes is written 2 times
    Then it is in force on all nodes within 5.0 seconds

  Scenario: An upstream that leaves while a manifest grows gets no new flow
    # Callers got new flows on upstreams that had announced their leave five
    # seconds before. The announcement was in the same answer as a manifest that
    # had grown by many routes, and nodes with slow links never received the
    # complete answer (same cause and evidence as above).
    Given a fleet of 12 nodes in 3 domains
    And links of 5 Mbit/s for all nodes but the readers
    When a manifest of 1500 routes is written 2 times
    And an upstream starts to leave
    Then no node gives it new flows after 5.0 seconds

  Scenario: A node reads a change that exceeds a datagram at once
    # A change was in force two seconds late on most nodes. Their reader had
    # sent them at once that its changes exceed a datagram, but they slept until
    # their data was two seconds old. Their logs show over a second between
    # "changes left to the store" and the call.
    Given a fleet of 12 nodes in 3 domains
    When a manifest of 1500 routes is written 1 times
    Then it is in force on all nodes within 0.7 seconds

  Scenario: A large change during a read is read next
    # While a node reads one large manifest, its reader gets the next one. The
    # end of the read must not count as having received that one.
    Given a fleet of 12 nodes in 3 domains
    And links of 5 Mbit/s for all nodes but the readers
    When a manifest of 1500 routes is written, and again 0.2 seconds later
    Then it is in force on all nodes within 2.0 seconds

  Scenario: Versions that come faster than a link carries them are skipped
    # Callers were routed by a manifest from before a series of changes. A watch
    # returns every version since the last answer. These were more than the link
    # carried before the next one, so the lag of nodes grew with each.
    Given a fleet of 6 nodes in 2 domains
    And links of 5 Mbit/s for all nodes
    When manifests of 1500 routes are written 20 times, one each 0.3 seconds
    Then it is in force on all nodes within 5.0 seconds
