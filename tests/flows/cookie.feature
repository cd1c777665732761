Feature: Signed cookies
  Callers send the routing of their flow in the Echo option. Any bytes may be
  sent there, so a VM accepts only cookies signed by the fleet for the service.

  Scenario: A sealed cookie is decoded unchanged
    Given a cookie of "kiosk-ledger"
    Then it has at most 40 bytes
    And "kiosk-ledger" opens it

  Scenario: A cookie of another service is refused
    Given a cookie of "kiosk-ledger"
    Then "statement-desk" refuses it

  Scenario: A forged cookie is refused
    Given a cookie of "kiosk-ledger"
    Then every change of one bit is refused

  Scenario: A truncated cookie is refused
    Given a cookie of "kiosk-ledger"
    Then every shorter cookie is refused

  Scenario: Keys rotate with an overlap of one key
    Given a cookie of "kiosk-ledger"
    When the keys rotate 1 time
    Then "kiosk-ledger" opens it
    When the keys rotate 1 time
    Then "kiosk-ledger" refuses it
