Feature: Regression bounds of the bench
  The data path may get slower or hold more without any test of behaviour
  noticing. The bounds are on counts, on ratios within one run and on bytes,
  so that the verdict does not hang on how fast or busy a machine is.

  Scenario: A quick bench of real processes keeps every bound
    When the quick bench runs
    Then no bench request was lost or refused
    And every bench bound is kept

  Scenario: A report that is worse breaks a bound
    When a bench report shows a lost request and a relay that holds flows
    Then the bench bounds on both are broken
