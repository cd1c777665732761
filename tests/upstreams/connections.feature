Feature: Connections to upstreams
  Each way in which a request can fail at an upstream has its verdict: only
  what proves that it did not run may be told as "not run".

  Scenario Outline: A request that <story> is told <verdict>
    A caller sends a returns count. The upstream, or what is between, fails it
    in one of the ways of the field. A wrong "not run" makes the caller repeat
    a count that ran; a needless "may have run" makes a clerk check by hand.

    Given a connected upstream with the fault "<fault>"
    When a count goes over the connection
    Then the connection's verdict is "<verdict>" for "<reason>"
    And the upstream's ledger has <ran> counts

    Examples:
      | story                       | fault            | verdict      | reason        | ran |
      | is shed with Retry-After    | shed             | not-run      | upstream-shed | 0   |
      | meets a 503 without it      | unavailable      | may-have-run | upstream-shed | 0   |
      | meets REFUSED_STREAM        | refuse-stream    | not-run      | upstream-shed | 0   |
      | meets RST_STREAM            | reset-stream     | may-have-run | upstream-lost | 0   |
      | gets half an answer         | half-answer      | may-have-run | upstream-lost | 1   |
      | ran before the reset        | drop-after-work  | may-have-run | upstream-lost | 1   |
      | was written before a reset  | drop-before-work | may-have-run | upstream-lost | 0   |
      | is on a silent connection   | silent           | may-have-run | upstream-lost | 0   |

  Scenario: A request that was never written is told "not run"
    The connection breaks between two requests. The second finds it closed
    before its first byte is sent, so nothing can have run.

    Given a connected upstream with the fault "none"
    When the connection breaks and a count goes over it at once
    Then the connection's verdict is "not-run" for "upstream-down"

  Scenario: A connection that fell silent is replaced
    Something between the two ends lost track of the connection. Nothing
    errors: requests on it would only end at their deadlines, for ever.

    Given a connected upstream with the fault "silent"
    When a count goes over the connection
    And the upstream works again and 4 s pass
    And a count goes over the connection
    Then the count was answered
    And the silent connection was given up within 4 s

  Scenario: GOAWAY ends requests in progress whole and refuses later ones
    An upstream restarts gracefully while a count is in progress. It promised
    to finish it, so its answer has to come; one sent after that is not taken.

    Given a connected upstream with the fault "none"
    When GOAWAY comes between two counts on the connection
    Then the first count was answered
    And the connection's verdict is "not-run" for "upstream-leaving"

  Scenario: A connection at another service's upstream carries nothing
    Given a connected upstream that names another service
    When a count goes over the connection
    Then the connection's verdict is "not-run" for "upstream-down"
    And the upstream's ledger has 0 counts
