Feature: Flows outlive trouble, and those that are lost end at once
  A node holds no state that routing needs: an open flow's packets name their
  upstream. What clients send again tells which upstream fell silent.

  Scenario: A flow goes on through another node when its own one dies
    # A client's requests go on while the node that opened its flow loses
    # power: the router picks another node, which has never seen the flow.
    Given a domain "a" with 2 nodes and 3 upstreams
    And 12 open flows in "a"
    When a node of "a" loses power
    And every flow sends a request
    Then every request is served

  Scenario: Idle flows on an upstream that fell silent are ended before use
    # An upstream's host loses power. Clients with requests on it wait for
    # their deadlines, and those that come next send requests into the void;
    # one that is not idempotent is then lost for good, as nobody repeats it.
    Given a domain "a" with 1 node and 2 upstreams
    And 16 open flows in "a"
    When an upstream falls silent
    And 3 flows on it send a request
    And 0.8 seconds pass
    Then all flows on it were ended by a node
    And no flow on another upstream was ended

  Scenario: A flow that was ended for silence opens again on a living upstream
    # After the reset the client tries again at once, and must not be sent to
    # the silent upstream that has the fewest flows of all by now.
    Given a domain "a" with 1 node and 2 upstreams
    And 16 open flows in "a"
    When an upstream falls silent
    And 3 flows on it send a request
    And 0.8 seconds pass
    And 8 new flows in "a" send a request
    Then every new request is served within 0.1 seconds

  Scenario Outline: An upstream that works long is not taken for a silent one
    # Its clients send their data again after 0.2 s. The upstream acknowledges
    # that to them directly, where no node sees it; a reset would cut short
    # requests that are at work.
    Given a domain "a" with 1 node and 1 upstream that works <work> seconds
    And 6 open flows in "a"
    When every flow sends a request
    Then every request is served
    And no flow was ended by a node

    Examples:
      | work |
      | 0.15 |
      | 0.3  |
      | 0.45 |

  Scenario: The first requests of a new upstream may take long
    # Nothing is known of its usual answers, so nothing follows from a wait.
    Given a domain "a" with 1 node and 1 upstream that works 0.9 seconds
    When 2 new flows in "a" send a request
    Then every new request is served within 1 seconds

  Scenario: One client that sends again proves nothing
    # A client behind a broken link repeats itself for seconds.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When the answers to one client are lost
    And that client sends a request
    And 0.9 seconds pass
    Then no flow was ended by a node

  Scenario: A repeated opening goes to another upstream
    # The upstream with the fewest flows fell silent a moment ago. Each new
    # flow would wait for its client's time-out of 1.4 s.
    Given a domain "a" with 1 node and 3 upstreams
    When an upstream falls silent
    And 9 new flows in "a" send a request
    Then every new request is served within 0.3 seconds

  Scenario: Two upstreams with the same 32 bits do not share flows
    # Packets name their upstream by 32 bits of its name. With 100,000
    # upstreams two are likely to agree in them, and a flow of one would be
    # sent to the other.
    Given a domain "a" with 2 nodes and no upstreams
    And two upstreams in "a" whose names end alike
    When 20 new flows in "a" send a request
    And every flow sends a request
    Then every request is served
    And one of the two took no flow

  Scenario: A client that was refused is sent elsewhere the next time
    # A process crashed and its host refuses openings at once. Clients try
    # again within milliseconds, twice; with the fewest flows the crashed one
    # would be chosen each time, and the request fails.
    Given a domain "a" with 1 node and 3 upstreams
    And 12 open flows in "a"
    When the upstream with the fewest flows refuses all openings
    And 12 clients in "a" send a request and try twice again when refused
    Then each of them is served
    And the refusing upstream got at most 4 openings

  Scenario: An opening that the network doubled keeps its upstream's name
    # The second copy overtakes nothing and asks for nothing new, but an
    # upstream takes the last echo it sees: without its name in the copy every
    # later packet of the flow would name no upstream.
    Given a domain "a" with 1 node and 3 upstreams
    When 6 new flows in "a" send a request and the network doubles each packet
    And every flow sends a request
    Then every request is served

  Scenario: Flows that moved to a node do not hide that their upstream is silent
    # Routers turned to another node, as they do whenever one joins or leaves.
    # It sees flows on a silent upstream for the first time; that a client has
    # had answers before proves nothing about now.
    Given a domain "a" with 1 node and 2 upstreams
    And 16 open flows in "a"
    When an upstream falls silent
    And the node of "a" is started anew
    And 4 flows on it send a request, one each 0.1 seconds
    And 0.8 seconds pass
    Then these 4 were ended by a node

  Scenario: A node that stood still takes no backlog for silence
    # A VM is frozen for 0.9 s. Meanwhile clients send their requests three
    # times, and the node then reads all of it in one go. It must not conclude
    # that no upstream has answered for three sendings.
    Given a domain "a" with 1 node and 3 upstreams
    And 12 open flows in "a"
    When the node of "a" stands still
    And every flow sends a request
    And 0.9 seconds pass
    And it goes on
    Then no flow was ended by a node
    And no upstream is put aside
    And every request is served

  Scenario: A node that fell behind holds no opening against an upstream
    # The same with openings and their copies, at a start: what arrives while
    # the process is being imported is read in one go.
    Given a domain "a" with 1 node and 3 upstreams
    When the node of "a" stands still
    And 9 new flows in "a" send a request
    And 0.7 seconds pass
    And it goes on
    Then no upstream is put aside
    And every request is served

  Scenario: One client of a silent upstream is told while it has time
    # In a large fleet a node sees one flow on an upstream that fell silent; the
    # others go through other nodes. Its client would wait for its deadline of
    # 3 s, and has time for another try when it is told after 1.4 s.
    Given a domain "a" with 1 node and 2 upstreams
    And 2 open flows in "a" whose clients wait 3 seconds
    When an upstream falls silent
    And every flow sends a request
    And 1.5 seconds pass
    Then all flows on it were ended by a node
    And no flow on another upstream was ended

  Scenario: One silent flow on an upstream that answers others is left alone
    # Its own link may be cut, and heal; nothing shows that its upstream is gone.
    Given a domain "a" with 1 node and 1 upstream
    And 4 open flows in "a" whose clients wait 3 seconds
    When the answers to one client are lost
    And that client sends a request
    And every flow sends a request, every 0.3 seconds for 1.8 seconds
    Then no flow was ended by a node
