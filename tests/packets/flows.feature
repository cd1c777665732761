Feature: Flows survive failures of nodes, and lost flows are reset at once
  Routing needs no state of a node: the packets of an open flow name their
  upstream. Retransmissions of clients show which upstream is unresponsive.

  Scenario: A flow continues through another node when its node fails
    # The node that opened a flow loses power between requests, and the router
    # picks another node, which has never seen the flow.
    Given a domain "a" with 2 nodes and 3 upstreams
    And 12 open flows in "a"
    When a node of "a" loses power
    And every flow sends a request
    Then every request is served

  Scenario: Idle flows on an unresponsive upstream are reset before use
    # An upstream's host loses power. Requests on its flows would wait for their
    # deadlines, and so would later ones on idle flows. A request that is not
    # idempotent is then lost, as it can't be repeated.
    Given a domain "a" with 1 node and 2 upstreams
    And 16 open flows in "a"
    When an upstream stops answering
    And 3 flows on it send a request
    And 0.8 seconds pass
    Then all flows on it were ended by a node
    And no flow on another upstream was ended

  Scenario: After a reset a client's new flow is opened on a living upstream
    # The client tries again at once, and must not be sent to the unresponsive
    # upstream, which now has the fewest flows.
    Given a domain "a" with 1 node and 2 upstreams
    And 16 open flows in "a"
    When an upstream stops answering
    And 3 flows on it send a request
    And 0.8 seconds pass
    And 8 new flows in "a" send a request
    Then every new request is served within 0.1 seconds

  Scenario Outline: A slow upstream is not taken for an unresponsive one
    # Its clients retransmit their data after 0.2 s. The upstream sends the
    # acknowledgement directly to them, where no node sees it. A reset would
    # abort requests in progress.
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
    # Its usual answer time is unknown, so that a wait proves nothing.
    Given a domain "a" with 1 node and 1 upstream that works 0.9 seconds
    When 2 new flows in "a" send a request
    Then every new request is served within 1 seconds

  Scenario: Retransmissions of one client prove nothing
    # A client behind a broken link retransmits for seconds.
    Given a domain "a" with 1 node and 2 upstreams
    And 8 open flows in "a"
    When the answers to one client are lost
    And that client sends a request
    And 0.9 seconds pass
    Then no flow was ended by a node

  Scenario: A retransmitted opening is sent to another upstream
    # The upstream with the fewest flows has just become unresponsive. Each new
    # flow would wait for its client's timeout of 1.4 s.
    Given a domain "a" with 1 node and 3 upstreams
    When an upstream stops answering
    And 9 new flows in "a" send a request
    Then every new request is served within 0.3 seconds

  Scenario: Two upstreams with the same 32 bits do not share flows
    # Packets name their upstream by 32 bits of its name. With 100,000 upstreams
    # a collision is likely, and a flow of one would be sent to the other.
    Given a domain "a" with 2 nodes and no upstreams
    And two upstreams in "a" whose names end alike
    When 20 new flows in "a" send a request
    And every flow sends a request
    Then every request is served
    And one of the two took no flow

  Scenario: A refused client's next opening is sent to another upstream
    # A process crashed, and its host refuses openings at once. Clients try
    # again twice within milliseconds. With the fewest flows the crashed
    # upstream would be chosen each time, and the request would fail.
    Given a domain "a" with 1 node and 3 upstreams
    And 12 open flows in "a"
    When the upstream with the fewest flows refuses all openings
    And 12 clients in "a" send a request and try twice again when refused
    Then each of them is served
    And the refusing upstream got at most 4 openings

  Scenario: A duplicated opening keeps its upstream's echo
    # An upstream uses the echo of the last opening that it receives. If the
    # copy did not have it, later packets of the flow would name no upstream.
    Given a domain "a" with 1 node and 3 upstreams
    When 6 new flows in "a" send a request and the network doubles each packet
    And every flow sends a request
    Then every request is served

  Scenario: Flows that moved to a node don't hide an unresponsive upstream
    # Routers pick another node whenever one joins or leaves. It sees flows on
    # an unresponsive upstream for the first time. Their acknowledgements of
    # earlier answers prove nothing about its present state.
    Given a domain "a" with 1 node and 2 upstreams
    And 16 open flows in "a"
    When an upstream stops answering
    And the node of "a" is restarted
    And 4 flows on it send a request, one each 0.1 seconds
    And 0.8 seconds pass
    Then these 4 were ended by a node

  Scenario: A paused node does not count its backlog as retransmissions
    # A VM is paused for 0.9 s. Meanwhile clients send their requests three
    # times, and the node then reads all copies at once. It must not conclude
    # that no upstream answered any of them.
    Given a domain "a" with 1 node and 3 upstreams
    And 12 open flows in "a"
    When the node of "a" is paused
    And every flow sends a request
    And 0.9 seconds pass
    And it is resumed
    Then no flow was ended by a node
    And no upstream is put aside
    And every request is served

  Scenario: A backlogged node ejects no upstream for an unanswered opening
    # As above, with openings and their copies at a start: packets that arrive
    # while the process imports its modules are read at once.
    Given a domain "a" with 1 node and 3 upstreams
    When the node of "a" is paused
    And 9 new flows in "a" send a request
    And 0.7 seconds pass
    And it is resumed
    Then no upstream is put aside
    And every request is served

  Scenario: One client of an unresponsive upstream is reset before its deadline
    # In a large fleet a node sees a single flow on an unresponsive upstream, as
    # the others go through other nodes. Its client would wait for its deadline
    # of 3 s, and has time for another try if it is reset after 1.4 s.
    Given a domain "a" with 1 node and 2 upstreams
    And 2 open flows in "a" whose clients wait 3 seconds
    When an upstream stops answering
    And every flow sends a request
    And 1.5 seconds pass
    Then all flows on it were ended by a node
    And no flow on another upstream was ended

  Scenario: One unanswered flow on an upstream that answers others is kept
    # Its own link may fail for a time; nothing shows that its upstream failed.
    Given a domain "a" with 1 node and 1 upstream
    And 4 open flows in "a" whose clients wait 3 seconds
    When the answers to one client are lost
    And that client sends a request
    And every flow sends a request, every 0.3 seconds for 1.8 seconds
    Then no flow was ended by a node
