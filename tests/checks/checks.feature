Feature: System checks
  Operators run them before a VM starts or a document is put. One run must find
  all errors; an unreachable platform must not keep it from checking the rest.

  Scenario: Settings, documents and the platform are reported together
    Given settings of an entry VM
    And the setting "listen" is "nowhere"
    And the setting "admin" is "0.0.0.0:5691"
    And the system checks get a document without upstreams
    And the system checks get a platform that is down
    When the system checks run
    Then the system checks report
      | id               | level |
      | burdocksill.E003 | ERROR |
      | burdocksill.E201 | ERROR |
      | burdocksill.E101 | ERROR |

  Scenario: Suspicious but valid settings and documents are warnings
    Given settings of an entry VM
    And the setting "admin" is "0.0.0.0:5691"
    And the setting "seed" is "7"
    And the system checks get a document in one failure domain
    And the system checks get an empty platform
    When the system checks run
    Then the system checks report
      | id               | level   |
      | burdocksill.W001 | WARNING |
      | burdocksill.W003 | WARNING |
      | burdocksill.W201 | WARNING |
      | burdocksill.W101 | WARNING |
      | burdocksill.W102 | WARNING |
      | burdocksill.W103 | WARNING |

  Scenario: VMs that do not answer or cannot serve are warnings
    Given settings of an entry VM
    And the system checks get the status of a fleet with faults
    When the fleet's system checks run
    Then the system checks report
      | id               | level   |
      | burdocksill.W301 | WARNING |
      | burdocksill.W302 | WARNING |
      | burdocksill.W303 | WARNING |
      | burdocksill.W304 | WARNING |

  Scenario: The command's exit code follows the level
    Then burdocksill check on an invalid setting ends with 1
    And burdocksill check on a suspicious setting ends with 0
    And burdocksill check on a suspicious setting with --fail-level ends with 1
