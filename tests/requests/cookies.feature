Feature: Cookies of callers
  A request with a missing, forged, foreign, stolen or expired cookie is refused
  as "not run" and must not run. Answers must not be usable to flood an address
  that was not verified.

  Scenario Outline: A request with an invalid cookie is refused and never runs
    Given a ledger behind two entry VMs
    When a request arrives with a cookie that is <kind>
    Then the answer is UNAUTHORIZED as "not-run" for "<reason>" with a new cookie
    And the answer has at most 3 times the request's size
    And no request ran under the cookie

    Examples:
      | kind      | reason          |
      | missing   | cookie-needed   |
      | forged    | cookie-needed   |
      | truncated | cookie-needed   |
      | foreign   | cookie-needed   |
      | expired   | cookie-expired  |
      | forgotten | cookie-expired  |
      | stolen    | address-changed |

  Scenario: An answer to a small request has at most three times its size
    Given a ledger behind two entry VMs
    When 200 small requests of any kind arrive without a cookie
    Then every answer has at most 3 times its request's size

  Scenario Outline: An idle session gets no false "may have run"
    The owner stops or dies while a session is idle. The next request was never
    sent before, so it must not be reported as "may have run".

    Given a ledger behind two entry VMs
    When a session is idle for <seconds> seconds while its owner <fate>
    Then its next request under the new cookie runs once

    Examples:
      | seconds | fate  |
      | 100     | stays |
      | 100     | stops |
      | 100     | dies  |

  Scenario: A caller's address changes while it fetches an answer
    Given a ledger behind two entry VMs
    When a caller's address changes in the middle of 200000 bytes
    Then the moved caller has the complete answer of one run
