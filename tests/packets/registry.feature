Feature: What the list of upstreams says, and when its silence proves something
  Entries vanish when an upstream leaves, when it crashes, and while the store
  is in trouble. Only time with a working store tells them apart.

  Scenario: Entries that lapsed with the store cost no flow
    # The store was down; every entry lapsed. It returns, and for two seconds
    # its list is empty although every upstream lives. Clients must notice
    # nothing: neither resets nor refused openings.
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

  Scenario: A flow to an upstream that stays missing is ended on its first repeat
    # An upstream crashed, and its entry was removed. One client sends on a
    # flow to it. After 2.4 s with a working store the entry would be back.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When an upstream falls silent
    And its entry is removed
    And 3 seconds pass
    And 1 flow on it sends a request
    And 0.3 seconds pass
    Then all flows on it were ended by a node

  Scenario: A flow to an upstream that is missing but answers is carried on
    # Its entry was removed because it can't reach the store; clients still
    # get answers from it. Its entry alone must not end their flows.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When its entry is removed for one upstream
    And 3 seconds pass
    And every flow sends a request
    Then every request is served
    And no flow was ended by a node

  Scenario: A node that has just started does not end flows it cannot place
    # A node comes back after the store lost its entries. Flows name upstreams
    # that it has never heard of; they may be back in a moment.
    Given a domain "a" with 1 node and 2 upstreams
    And 4 open flows in "a"
    When all entries lapse
    And the node of "a" is started anew
    And every flow sends a request
    And 0.5 seconds pass
    Then no flow was ended by a node
    When all entries are written again
    And 0.8 seconds pass
    Then every request is served

  Scenario: A node that has read a working store for long ends unknown flows
    # The same, but the upstreams are gone for good: clients are told at once
    # instead of at their deadline.
    Given a domain "a" with 1 node and 2 upstreams
    And 4 open flows in "a"
    When all upstreams fall silent and their entries are removed
    And the node of "a" is started anew
    And 3 seconds pass
    And every flow sends a request
    And 0.5 seconds pass
    Then every flow was ended by a node

  Scenario: An upstream that drains gets no new flow and keeps its old ones
    # A release replaces an upstream: it says so, goes on answering on its
    # flows, and must not get openings 3 s later.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When an upstream drains
    And 8 new flows in "a" send a request
    And every flow sends a request
    Then every request is served
    And the draining upstream got no opening since

  Scenario: An upstream that starts again under its name is not held to its past
    # It was put aside for missing openings; its new process is well.
    Given a domain "a" with 1 node and 1 upstream
    When an upstream falls silent
    And 3 new flows in "a" send a request
    And 2 seconds pass
    And it starts again under its name
    And 3 new flows in "a" send a request
    Then the last 3 requests are served

  Scenario Outline: An entry that cannot be used names no upstream
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
    # Its own entry was overwritten by another program.
    Given a domain "a" with 1 node and 2 upstreams
    When the entry of one upstream is overwritten with rubbish
    And 6 new flows in "a" send a request
    Then every request is served
    And that upstream got no opening since

  Scenario: A store that hung for a moment does not keep the gone for ever
    # A watch timed out once and went on. An hour later an upstream crashes;
    # its flows must be ended as on any other day.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When the node of "a" loses touch with the store for a moment
    And an upstream falls silent
    And its entry is removed
    And 3 seconds pass
    And 1 flow on it sends a request
    And 0.3 seconds pass
    Then all flows on it were ended by a node

  Scenario: A node that starts while the list is empty refuses nobody
    # The store was down and all entries lapsed; a node is killed and reads the
    # empty list at its start. The entries are back within two seconds: clients
    # that were refused would give up, those that hear nothing send again.
    Given a domain "a" with 1 node and 2 upstreams
    When all entries lapse
    And the node of "a" is started anew
    And 4 new flows in "a" send a request
    And 0.5 seconds pass
    Then no flow was ended by a node
    When all entries are written again
    Then every request is served

  Scenario: A service whose upstreams are gone for good is refused at once
    # The same, and nothing comes back: once it would have, clients are told.
    Given a domain "a" with 1 node and 2 upstreams
    When all upstreams fall silent and their entries are removed
    And the node of "a" is started anew
    And 3 seconds pass
    And 4 new flows in "a" send a request
    And 0.1 seconds pass
    Then every new flow was ended by a node
