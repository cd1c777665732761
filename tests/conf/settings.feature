Feature: Settings of an entry VM
  An operator starts a VM with several invalid settings. If the program named
  only the first, every start would show one more, perhaps during an incident.
  So one start reports all of them, each with a hint.

  Scenario: All invalid settings are reported together
    Given settings of an entry VM
    And the setting "listen" is "10.0.0.1"
    And the setting "platform" is "10.0.0.9:2379"
    And the setting "trace_ratio" is "2"
    And the setting "name" is left out
    When the settings are read
    Then the settings errors are
      | code             | flag          |
      | burdocksill.E002 | --name        |
      | burdocksill.E003 | --listen      |
      | burdocksill.E005 | --platform    |
      | burdocksill.E007 | --trace-ratio |
    And each settings error has a hint

  Scenario: An invalid key ring is never shown
    Given settings of an entry VM
    And the setting "keys" is "c2VjcmV0"
    When the settings are read
    Then the settings errors are
      | code             | flag   |
      | burdocksill.E011 | --keys |
    And no settings error shows "c2VjcmV0"

  Scenario: Equal addresses for two sockets are refused
    Given settings of an entry VM
    And the setting "peer" is "10.0.0.1:5683"
    When the settings are read
    Then the settings errors are
      | code             | flag     |
      | burdocksill.E008 | --listen |

  Scenario: Defaults are used for settings that are not given
    Given settings of an entry VM
    When the settings are read
    Then the settings are valid
    And the setting "log_level" has the value "INFO"

  Scenario: The program exits with 2 and prints all errors
    When burdocksill-entry is started with "--name a/b --listen nowhere"
    Then it ends with 2
    And its error output names "--name" and "--listen" and "--domain"

  Scenario: An address that another process uses is reported
    Given settings of an entry VM on an address that is in use
    When burdocksill-entry is started with these settings
    Then it ends with 1
    And its error output names "burdocksill.E010" and "127.13.9.1" and "cannot be bound"

  Scenario: The reference page lists every setting as the code defines it
    Then docs/reference/settings.md has a row for every setting
