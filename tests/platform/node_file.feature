Feature: Features that a deployment asks for
  The settings file that the platform writes names the contracts in force.

  Scenario Outline: Contracts decide which features are on
    When a node reads settings with the contracts "<contracts>"
    Then its features are "<features>"

    Examples:
      | contracts              | features |
      | base,drain,flows       | none     |
      | base,drain,health,cost | all      |
      | base,unhealthy         | none     |
      |                        | none     |

  Scenario Outline: Operators choose features by name
    When a node reads the features "<text>"
    Then its features are "<features>"

    Examples:
      | text                           | features                     |
      | none                           | none                         |
      | all                            | all                          |
      | load-reports                   | load-reports                 |
      | fair-admission , load-reports  | fair-admission, load-reports |

  Scenario: A chosen set of features keeps the other settings
    Guards against a start that fails as soon as operators choose features.
    When a node reads settings with the contracts "base"
    And operators choose the features "spillover"
    Then its features are "spillover"
    And its name is "front-a-1"

  Scenario: A feature that does not exist is an error with its name
    Guards against a misspelt name that silently switches nothing off.
    When a node reads the features "load-reports,fair-admision"
    Then the setting is refused with "burdocksill.E006" and names "fair-admision"
