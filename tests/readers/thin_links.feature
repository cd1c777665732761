Feature: Large changes reach nodes behind thin links
  A large manifest is no datagram's content, so each node reads it from the
  store over its own link, on virtual time here.

  Scenario: A manifest that grows and changes again is in force in time
    # Callers were routed by a manifest that operators had replaced more than
    # five seconds before. It had grown by many routes and changed once more
    # within a second. Each call to the store had a limit for its whole answer,
    # shorter than the answer took over a thin link: nodes began it anew for
    # 20 seconds. Evidence: the store answered every call, only nodes with thin
    # links were late, and their logs show 838 answers cut short, none of them
    # with more than 452 of 622 KB.
    Given a fleet of 12 nodes in 3 domains
    And links of 5 Mbit/s for all nodes but the readers
    When a manifest of 1500 routes is written 2 times
    Then it is in force on all nodes within 5.0 seconds

  Scenario: An upstream that leaves while a manifest grows gets no new flow
    # Callers got new flows on upstreams that had said five seconds before that
    # they leave. Their news came in the same answer as a manifest that had
    # grown by many routes, and nodes with thin links never read it to its end
    # (the cause and the evidence are those above).
    Given a fleet of 12 nodes in 3 domains
    And links of 5 Mbit/s for all nodes but the readers
    When a manifest of 1500 routes is written 2 times
    And an upstream starts to leave
    Then no node gives it new flows after 5.0 seconds
