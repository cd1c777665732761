Feature: The service registry, and when a missing entry proves a failure
  Entries are removed when an upstream leaves, when it crashes, and while the
  store is unavailable. Only time with a healthy store tells the cases apart.

  Scenario: Entries that expired while the store was down cost no flow
    # The store was down, and all entries expired. For two seconds after its
    # recovery the list is empty although every upstream is alive. Clients must
    # get neither resets nor refusals.
    Given a domain "a" with 1 node and 3 upstreams
    And 6 open flows in "a"
    When all entries lapse
    And every flow sends a request
    And 6 new flows in "a" send a request
    And 1.9 seconds pass
    And all entries are written again
    And every flow sends a request
    Then every request is served
    And no flow was ended by a node

  Scenario: A flow to an absent upstream is reset on its first retransmission
    # An upstream crashed, and its entry was removed. One client sends on a flow
    # to it. After 2.4 s with a healthy store a living one would be registered.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When an upstream stops answering
    And its entry is removed
    And 3 seconds pass
    And 1 flow on it sends a request
    And 0.3 seconds pass
    Then all flows on it were ended by a node

  Scenario: A flow to an absent upstream that answers is kept
    # Its entry was removed because it can't reach the store, but clients still
    # get answers. The missing entry alone must not reset their flows.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When its entry is removed for one upstream
    And 3 seconds pass
    And every flow sends a request
    Then every request is served
    And no flow was ended by a node

  Scenario: A node that has just started keeps flows of unknown upstreams
    # A node starts after the store lost its entries. Flows name upstreams that
    # it has never known, but that may be registered again soon.
    Given a domain "a" with 1 node and 2 upstreams
    And 4 open flows in "a"
    When all entries lapse
    And the node of "a" is restarted
    And every flow sends a request
    And 0.5 seconds pass
    Then no flow was ended by a node
    When all entries are written again
    And 0.8 seconds pass
    Then every request is served

  Scenario: A peer that has not noticed an outage does not hide it
    # Guards against an upstream whose entry lapsed in an outage, and whose flows
    # were reset as those of one that has stopped.
    Given a domain "a" with 1 node and 2 upstreams
    And 4 open flows in "a"
    When a peer tells that the store has worked for 20 seconds
    And 4 seconds pass
    And a call of the node of "a" to the store fails
    And a peer tells that the store has worked for 24 seconds
    And its entry is removed for one upstream
    Then its entry may have lapsed in an outage

  Scenario: A node that has read a healthy store for long resets unknown flows
    # As above, but the upstreams are gone for good: clients get a reset at once
    # instead of waiting for their deadlines.
    Given a domain "a" with 1 node and 2 upstreams
    And 4 open flows in "a"
    When all upstreams stop answering and their entries are removed
    And the node of "a" is restarted
    And 3 seconds pass
    And every flow sends a request
    And 0.5 seconds pass
    Then every flow was ended by a node

  Scenario: A draining upstream gets no new flow and keeps its open ones
    # A release replaces an upstream. It registers as draining, still answers on
    # its flows, and must not get openings 3 s later.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When an upstream drains
    And 8 new flows in "a" send a request
    And every flow sends a request
    Then every request is served
    And the draining upstream got no opening since

  Scenario: An upstream that is restarted under its name is not ejected
    # It was ejected for unanswered openings; its new process is healthy.
    Given a domain "a" with 1 node and 1 upstream
    When an upstream stops answering
    And 3 new flows in "a" send a request
    And 2 seconds pass
    And it starts again under its name
    And 3 new flows in "a" send a request
    Then the last 3 requests are served

  Scenario Outline: An invalid entry adds no upstream
    # Another program writes into the list by mistake.
    Given a domain "a" with 1 node and 2 upstreams
    When somebody writes the entry <entry>
    And 6 new flows in "a" send a request
    Then every request is served

    Examples:
      | entry |
      | {} |
      | [] |
      | {"State": "ready"} |
      | not json at all |
      | {"Service": "ledger", "Address": "10.2.0.99:8080", "Zone": "a", "Slots": 2, "State": "dancing"} |
      | {"Service": "ledger", "Address": "10.2.0.99", "Zone": "a", "Slots": 2, "State": "ready"} |
      | {"Service": "ledger", "Address": "10.2.0.99:99999", "Zone": "a", "Slots": 2, "State": "ready"} |
      | {"Service": 7, "Address": "10.2.0.99:8080", "Zone": "a", "Slots": 2, "State": "ready"} |
      | {"Service": "ledger", "Address": "10.2.0.99:8080", "Zone": "a", "Slots": "two", "State": "ready"} |
      | {"Service": "ledger", "Address": "10.2.0.99:8080", "Zone": null, "Slots": 2, "State": "ready"} |

  Scenario: An upstream whose entry becomes unreadable gets no new flow
    # Its entry was overwritten by another program.
    Given a domain "a" with 1 node and 2 upstreams
    When the entry of one upstream is overwritten with invalid bytes
    And 6 new flows in "a" send a request
    Then every request is served
    And that upstream got no opening since

  Scenario: A short failure of the store does not keep lost flows forever
    # A watch timed out once and was continued. Later an upstream crashes; its
    # flows must be reset as without the timeout.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When the node of "a" briefly loses its connection to the store
    And an upstream stops answering
    And its entry is removed
    And 3 seconds pass
    And 1 flow on it sends a request
    And 0.3 seconds pass
    Then all flows on it were ended by a node

  Scenario: A node that starts while the list is empty refuses no opening
    # The store was down, and all entries expired. A node is killed and reads
    # the empty list at its start. The entries are back within two seconds.
    # Clients would give up after a refusal, but retransmit without one.
    Given a domain "a" with 1 node and 2 upstreams
    When all entries lapse
    And the node of "a" is restarted
    And 4 new flows in "a" send a request
    And 0.5 seconds pass
    Then no flow was ended by a node
    When all entries are written again
    Then every request is served

  Scenario: Openings for a service whose upstreams are gone are refused at once
    # As above, but no entry comes back within the time that a living upstream
    # would need.
    Given a domain "a" with 1 node and 2 upstreams
    When all upstreams stop answering and their entries are removed
    And the node of "a" is restarted
    And 3 seconds pass
    And 4 new flows in "a" send a request
    And 0.1 seconds pass
    Then every new flow was ended by a node
