Feature: Verdicts after an owner is lost
  A kitchen puts its portions. The owner sends the request on and dies before
  the answer comes. No other VM can know whether it ran, also not for a
  request that may run twice, so nobody may say "not run".

  Scenario: A lost owner's idempotent request that nobody can serve
    Given a lost owner's upstream that works 2 s on each request
    When its owner dies 1 s after a caller sent a PUT
    Then the lost owner's caller is told "may-have-run"
    And the lost owner's upstream has run the request

  Scenario: A lost owner's idempotent request that its heir refuses
    Given a lost owner's upstream that works 2 s on each request
    And an heir in its failure domain whose dispatcher refuses everything
    When its owner dies 1 s after a caller sent a PUT
    Then the lost owner's caller is told "may-have-run"
    And the lost owner's upstream has run the request
