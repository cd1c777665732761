Feature: Long requests in all slots of an upstream are no failure
  While its slots are busy, an upstream answers nobody. It still acknowledges
  what clients send again, so that each of them retransmits once.

  Scenario Outline: Flows of an upstream whose slots are busy stay open
    # Guards against resets of a living upstream that answers nobody for <work> s.
    Given 3 nodes and an upstream with 60 flows, opened one by one
    When all its slots work <work> seconds on requests of other nodes
    And <count> flows of the first node send a request, 0.05 seconds apart
    And 3 seconds pass
    Then no flow was ended by a node
    And every request is served

    Examples:
      | work | count |
      | 0.5  | 2     |
      | 0.6  | 3     |
      | 0.6  | 6     |
      | 0.9  | 3     |

  Scenario Outline: Flows stay open while an entry expires and slots are busy
    # Guards against resets when only the upstream's way to the store has failed.
    Given 3 nodes and an upstream with 60 flows, opened one by one
    And the store has been healthy for long
    When all its slots work 0.9 seconds on requests of other nodes
    And <count> flows of the first node send a request, 0.05 seconds apart
    And 0.3 seconds pass
    And its entry is removed for one upstream
    And 2 seconds pass
    Then no flow was ended by a node
    And every request is served

    Examples:
      | count |
      | 1     |
      | 3     |

  Scenario: A dark upstream is noticed by its clients' first retransmissions
    # Guards against a rule that waits for second ones, 0.4 s later.
    Given 3 nodes and an upstream with 60 flows, opened one by one
    When an upstream stops answering
    And 2 flows of the first node send a request, 0.01 seconds apart
    And 0.3 seconds pass
    Then all flows of the first node were ended by a node

  Scenario Outline: A request is probed once, if its upstream answers nobody
    # Guards against copies of requests that are answered soon.
    Given 3 nodes and an upstream with 60 flows, opened one by one
    When all its slots work <work> seconds on requests of other nodes
    And 3 flows of the first node send a request, 0.01 seconds apart
    And 2 seconds pass
    Then the first node has sent <probes> probes
    And every request is served

    Examples:
      | work | probes |
      | 0.05 | 0      |
      | 0.9  | 3      |

  Scenario: One client that hears nothing ends no other flow
    # Guards against a failed link of a client that looks like a dark upstream.
    Given 3 nodes and an upstream with 60 flows, opened one by one
    When all its slots work 0.6 seconds on requests of other nodes
    And a client of the first node that hears nothing sends a request
    And 3 flows of the first node send a request, 0.05 seconds apart
    And 1 second passes
    Then only the flow of that client was ended by a node, if any

  Scenario Outline: Only a probe that was sent in time is evidence
    # Guards against a conclusion from acknowledgements that are under way.
    Given a flow whose request was sent 0.2 seconds ago
    When its node sent a probe <probed> seconds after it
    And answers usually take <usual> seconds
    Then its retransmission now <result>

    Examples:
      | probed | usual | result         |
      | 0.1    | 0.02  | is certain     |
      | 0.12   | 0.02  | is certain     |
      | 0.14   | 0.02  | is not certain |
      | 0.19   | 0.02  | is not certain |
      | 0.1    | 0.15  | is not certain |
      | 0.1    | 9.9   | is not certain |
