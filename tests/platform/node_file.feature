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
      | load-reports                   | load-reports                 |
      | fair-admission , load-reports  | fair-admission, load-reports |

  Scenario: A feature that does not exist is an error with its name
    Guards against a misspelt name that silently switches nothing off.
    When a node reads the features "load-reports,fair-admision"
    Then the setting is refused with "burdocksill.E006" and names "fair-admision"
