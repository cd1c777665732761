Feature: Deployments under load and faults
  A run brings faults on a fleet at its real size. Whatever comes, no request
  may run twice, be lost, get another's answer or be called "not run" although
  it ran; and a run that found a fault must be the same the next time.

  Scenario Outline: A run of <deployment> is sound and repeats itself
    When <deployment> runs twice with seed <seed> through these faults
      """
      [[faults]]
      at = 1.0
      kind = "kill"
      target = "<domain>-entry-1"

      [[faults]]
      at = 2.0
      kind = "upstream-restart"
      target = "<upstream>"

      [[faults]]
      at = 3.0
      kind = "cut"
      target = "<domain>-entry-2"

      [[faults]]
      at = 4.5
      kind = "heal"
      """
    Then the run doubled, lost, mixed and misreported nothing
    And most of the run's requests were answered by their service
    And both runs gave the same report

    Examples:
      | deployment | seed | domain  | upstream       |
      | vratka     | 3    | cz-a    | kiosk-ledger-2 |
      | vecinas    | 4    | quito-b | rounds-3       |

  Scenario: A file of faults that cannot be read says what is wrong
    When a run's faults name the kind "meteor"
    Then the run is refused with "burdocksill.E904"

  Scenario: A fault of an entry VM that is not there is refused
    When vratka runs through a kill of "cz-z-entry-1"
    Then the run is refused with "burdocksill.E904"
