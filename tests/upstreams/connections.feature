Feature: Connections to upstreams
  Each kind of failure has a verdict: only a failure that proves that the
  request did not run may be reported as "not run".

  Scenario Outline: A request that <story> gets the verdict <verdict>
    A request fails at the upstream or on the way to it. After a wrong "not
    run" the caller repeats a request that ran; after a needless "may have
    run" somebody has to check by hand.

    Given a connected upstream with the fault "<fault>"
    When a count is sent on the connection
    Then the connection's verdict is "<verdict>" for "<reason>"
    And the upstream's ledger has <ran> counts

    Examples:
      | story                       | fault            | verdict      | reason        | ran |
      | is shed with Retry-After    | shed             | not-run      | upstream-shed | 0   |
      | gets a 503 without it       | unavailable      | may-have-run | upstream-shed | 0   |
      | gets REFUSED_STREAM         | refuse-stream    | not-run      | upstream-shed | 0   |
      | gets RST_STREAM             | reset-stream     | may-have-run | upstream-lost | 0   |
      | gets half an answer         | half-answer      | may-have-run | upstream-lost | 1   |
      | ran before the reset        | drop-after-work  | may-have-run | upstream-lost | 1   |
      | was written before a reset  | drop-before-work | may-have-run | upstream-lost | 0   |
      | is on a silent connection   | silent           | may-have-run | upstream-lost | 0   |

  Scenario: A request that was never sent gets the verdict "not run"
    The connection breaks between two requests. The second one finds it closed
    before its first byte is sent, so it can't have run.

    Given a connected upstream with the fault "none"
    When the connection breaks and a count is sent at once
    Then the connection's verdict is "not-run" for "upstream-down"

  Scenario: An unresponsive connection is replaced
    A device on the path has lost the connection's state. There is no error,
    so every request on the connection would last until its deadline.

    Given a connected upstream with the fault "silent"
    When a count is sent on the connection
    And the upstream works again and 4 s pass
    And a count is sent on the connection
    Then the count was answered
    And the unresponsive connection was closed within 4 s

  Scenario: After GOAWAY open requests complete and later ones are refused
    An upstream restarts gracefully while a count is in progress. It has
    promised to finish that one, but takes no request sent after GOAWAY.

    Given a connected upstream with the fault "none"
    When GOAWAY arrives between two counts on the connection
    Then the first count was answered
    And the connection's verdict is "not-run" for "upstream-leaving"

  Scenario: No request is sent to an upstream of another service
    Given a connected upstream that identifies as another service
    When a count is sent on the connection
    Then the connection's verdict is "not-run" for "upstream-down"
    And the upstream's ledger has 0 counts
