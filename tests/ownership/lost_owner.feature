Feature: Verdicts after an owner is lost
  The owner forwards a request and dies before the answer arrives. No other VM
  can know whether the request ran, not even an idempotent one, so none may
  report "not run".

  Scenario: An idempotent request of a lost owner that no VM can serve
    Given a lost owner's upstream that takes 2 s for each request
    When its owner dies 1 s after a caller sent a PUT
    Then the lost owner's caller gets the verdict "may-have-run"
    And the lost owner's upstream has run the request

  Scenario: An idempotent request of a lost owner that its successor refuses
    Given a lost owner's upstream that takes 2 s for each request
    And a successor in its failure domain whose dispatcher refuses all requests
    When its owner dies 1 s after a caller sent a PUT
    Then the lost owner's caller gets the verdict "may-have-run"
    And the lost owner's upstream has run the request
