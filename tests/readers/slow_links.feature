Feature: Large changes reach nodes behind slow links
  A large manifest is no datagram's content, so each node reads it from the
  store over its own link, on virtual time here.

  Scenario: A manifest that grows and changes again is in force in time
    # Callers were routed by a manifest that operators had replaced more than
    # five seconds before. It had grown by many routes and changed once more
    # within a second. Each call to the store had a limit for its whole answer,
    # shorter than the answer took over a slow link: nodes began it anew for
    # 20 seconds. Evidence: the store answered every call, only nodes with slow
    # links were late, and their logs show 838 answers cut short, none of them
    # with more than 452 of 622 KB.
    Given a fleet of 12 nodes in 3 domains
    And links of 5 Mbit/s for all nodes but the readers
    When a manifest of 1500 routes is written 2 times
    Then it is in force on all nodes within 5.0 seconds

  Scenario: An upstream that leaves while a manifest grows gets no new flow
    # Callers got new flows on upstreams that had said five seconds before that
    # they leave. Their news came in the same answer as a manifest that had
    # grown by many routes, and nodes with slow links never read it to its end
    # (the cause and the evidence are those above).
    Given a fleet of 12 nodes in 3 domains
    And links of 5 Mbit/s for all nodes but the readers
    When a manifest of 1500 routes is written 2 times
    And an upstream starts to leave
    Then no node gives it new flows after 5.0 seconds

  Scenario: A node that is told of a large change reads it at once
    # A change was in force two seconds late on most nodes. Their reader had
    # told them at once that it had more than a datagram holds, and they went
    # on sleeping until what they knew was two seconds old. Evidence: on all of
    # these nodes the log has over a second between "changes left to the store"
    # and the call.
    Given a fleet of 12 nodes in 3 domains
    When a manifest of 1500 routes is written 1 times
    Then it is in force on all nodes within 0.7 seconds

  Scenario: A large change during a reading is read next
    # While a node reads one large manifest its reader learns of the next. The
    # end of the reading must not pass for the news of that one.
    Given a fleet of 12 nodes in 3 domains
    And links of 5 Mbit/s for all nodes but the readers
    When a manifest of 1500 routes is written, and again 0.2 seconds later
    Then it is in force on all nodes within 2.0 seconds

  Scenario: Versions that come faster than a link carries them are skipped
    # Callers were routed by a manifest from before a series of changes. A watch
    # tells every version since the last answer, which were more than the link
    # carried until the next, so that nodes fell further behind with each.
    Given a fleet of 6 nodes in 2 domains
    And links of 5 Mbit/s for all nodes
    When manifests of 1500 routes are written 20 times, one each 0.3 seconds
    Then it is in force on all nodes within 5.0 seconds
