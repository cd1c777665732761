Feature: What a caller is told about its cookie
  A newsagent's return is billed although the terminal said "not run", or a
  stranger's address is flooded with statements. A cookie was lost, copied,
  forged or grew old on its way, and a VM believed it.

  Scenario Outline: A return with a bad cookie is refused and never runs
    Given a ledger behind two entry VMs
    When a return comes with a cookie that is <kind>
    Then the cookie's answer is UNAUTHORIZED as "not-run" for "<reason>" with a fresh cookie
    And the cookie's answer has at most 3 times the request's size
    And no return ran under the cookie

    Examples:
      | kind      | reason          |
      | missing   | cookie-needed   |
      | forged    | cookie-needed   |
      | truncated | cookie-needed   |
      | foreign   | cookie-needed   |
      | expired   | cookie-expired  |
      | forgotten | cookie-expired  |
      | stolen    | address-changed |

  Scenario: A tiny request gets no more than three times its size
    Given a ledger behind two entry VMs
    When 200 tiny requests of any kind come without a cookie
    Then every cookie's answer has at most 3 times its request's size

  Scenario Outline: An idle session gets no false "may have run"
    A kiosk sends nothing for a while. Its owner stops or dies meanwhile, and
    the next return would be told "may have run" though it never left.

    Given a ledger behind two entry VMs
    When a session is idle for <seconds> seconds while its owner <fate>
    Then its next return under the new cookie runs once

    Examples:
      | seconds | fate  |
      | 100     | stays |
      | 100     | stops |
      | 100     | dies  |

  Scenario: A caller's address changes while it fetches a statement
    Given a ledger behind two entry VMs
    When a caller's address changes in the middle of 200000 bytes
    Then the cookie's caller has the whole statement of one run
