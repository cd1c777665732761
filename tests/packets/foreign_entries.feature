Feature: Entries of other writers harm no upstream
  Other programs may write below the key of upstreams: entries with fields that
  are missing, of another type or out of range, at any address.

  Scenario Outline: An entry without a field replaces no upstream at its address
    # Guards against an incomplete entry that ends the flows of a living upstream.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When an entry without <field> names the address of an upstream
    And every flow sends a request
    And 8 new flows in "a" send a request
    Then every request is served
    And no flow was ended by a node
    And the upstream got some of the new flows

    Examples:
      | field    |
      | Service  |
      | Zone     |
      | Version  |
      | Slots    |
      | State    |
      | WarmupMs |
      | Seq      |

  Scenario Outline: An entry with an odd value is used for nothing
    # Guards against values that end processes, or that replace an upstream.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When an entry with <field> <value> names the address of an upstream
    And every flow sends a request
    And 8 new flows in "a" send a request
    Then every request is served
    And no flow was ended by a node
    And the upstream got some of the new flows

    Examples:
      | field    | value             |
      | Slots    | 320 nines         |
      | Slots    | 0                 |
      | Slots    | -3                |
      | Slots    | 2.0               |
      | Slots    | true              |
      | Slots    | 10000000000000000000 |
      | WarmupMs | 320 nines         |
      | WarmupMs | -1                |
      | WarmupMs | true              |
      | WarmupMs | "5"               |
      | Seq      | 320 nines         |
      | Seq      | 1.5               |
      | Version  | 1                 |
      | born     | 320 nines         |
      | born     | -1                |
      | born     | 5.5               |
      | Zone     | "\ud800"          |
      | Service  | "\ud800"          |
      | Service  | 300 letters       |
      | State    | "leaving"         |

  Scenario Outline: An address in another form is used for nothing
    # Guards against look-ups of names, and against packets to other hosts.
    Given a domain "a" with 1 node and 2 upstreams
    When somebody writes a complete entry at the address <address>
    Then the foreign entry names no upstream

    Examples:
      | address           |
      | 010.2.0.99:8080   |
      | +10.2.0.99:8080   |
      | 10.2.0.9_9:8080   |
      | 10.2.0.99:+8080   |
      | 10.2.0.99:8_080   |
      | 10.2.0.99:0       |
      | ١٠.2.0.99:8080    |
      | localhost:8080    |

  Scenario: An upstream with more slots than it can use is used
    # Guards against a bound on slots that no page sets.
    Given a domain "a" with 1 node and 1 upstream that works 0.3 seconds
    When its entry is written with 70000 slots
    And 8 new flows in "a" send a request
    Then every request is served
    And the upstream got some of the new flows

  Scenario Outline: Odd entries end nothing, and others are followed
    # Guards against one entry that ends each node, or keeps it from the others.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When somebody writes an entry of <text>
    And a domain "b" gets an upstream
    And every flow sends a request
    Then every request is served
    And the node of "a" knows the upstream of "b"
    When the node of "a" is restarted
    Then the node of "a" knows the upstream of "b"

    Examples:
      | text                 |
      | 100000 brackets      |
      | 900 brackets         |
      | 900 nested objects   |
      | a Slots of 320 nines |
      | a Slots of 5000 nines |
      | a Seq of 5000 nines  |
      | a port of 65536      |
      | a port of 5000 nines |
      | a port of -1         |

  Scenario: A value that the decoder does not expect keeps no other from it
    # Guards against a node that stops following the store for one entry.
    Given a domain "a" with 1 node and 2 upstreams
    When somebody writes an entry that the decoder fails on
    And a domain "b" gets an upstream
    Then the node of "a" knows the upstream of "b"

  Scenario: Random entries and manifests end no process
    # Guards against values that a decoder accepts and a decision can't bear.
    Given a domain "a" with 1 node and 2 upstreams, all features on
    When 400 random entries and manifests are written while flows are opened
    Then the node has served after each of them

  Scenario Outline: A manifest whose version is out of range is not in force
    # Guards against versions that can't be ordered, told or counted.
    Given a domain "a" with 1 node and 2 upstreams
    When a manifest with <field> <value> is written
    And 8 new flows in "a" send a request
    Then every request is served
    And the manifest before stays in force

    Examples:
      | field         | value     |
      | Version       | 320 nines |
      | Version       | -1        |

  Scenario Outline: An upstream whose entry is overwritten keeps its flows
    # Guards against a foreign entry that counts as the end of its upstream.
    Given a domain "a" with 1 node and 1 upstream that works 0.3 seconds
    And 6 open flows in "a"
    And the store of the node has been healthy for long
    When the entry of one upstream is overwritten <how>
    And 3 seconds pass
    And every flow sends a request
    Then every request is served
    And no flow was ended by a node
    And that upstream got no opening since

    Examples:
      | how                |
      | with invalid bytes |
      | without Slots      |

  Scenario Outline: A node that starts beside an overwritten entry ends no flow
    # Guards against resets by a node that never read the upstream's own entry.
    Given a domain "a" with 1 node and 2 upstreams
    And 6 open flows in "a"
    When the entry of one upstream is overwritten <how>
    And the node of "a" is restarted
    And 3 seconds pass
    And every flow sends a request
    And 0.3 seconds pass
    And all entries are written again
    And 0.8 seconds pass
    Then every request is served
    And no flow was ended by a node

    Examples:
      | how                |
      | with invalid bytes |
      | without Slots      |

  Scenario: A node that starts beside an overwritten entry notices its end
    # Guards against flows that wait for good for an upstream that has ended.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When an upstream stops answering
    And its entry is overwritten by another program
    And the node of "a" is restarted
    And its entry is removed
    And 3 seconds pass
    And every flow sends a request
    And 0.5 seconds pass
    Then all flows on it were ended by a node

  Scenario: An upstream whose entry is overwritten and removed is lost
    # Guards against an overwritten entry that hides the end of its upstream.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When an upstream stops answering
    And its entry is overwritten by another program
    And its entry is removed
    And 3 seconds pass
    And 1 flow on it sends a request
    And 0.3 seconds pass
    Then all flows on it were ended by a node

  Scenario: An upstream writes its overwritten entry again
    # Guards against an upstream that gets no flow for as long as it lives.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When the entry of one upstream is overwritten without Slots
    And 1 second passes
    And all entries are written again
    And 8 new flows in "a" send a request
    Then every request is served
    And the upstream got some of the new flows

  Scenario Outline: An entry of an unknown service ends no flow
    # Guards against flows that end for an entry that names no upstream to use.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When an entry of an unknown service <where> is written
    And every flow sends a request
    Then every request is served
    And no flow was ended by a node

    Examples:
      | where                              |
      | at the address of an upstream      |
      | under the key of an upstream       |

  Scenario Outline: An upstream that was taken for replaced is used again
    # Guards against a living upstream that gets no flow for as long as it lives.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When a complete entry names the address of an upstream
    And 1 second passes
    And <evidence>
    And 8 new flows in "a" send a request
    Then every new request is served within 1 seconds
    And the upstream got some of the new flows

    Examples:
      | evidence                           |
      | the foreign entry is removed       |
      | the foreign entry is overwritten   |
      | the upstream writes its entry      |
