Feature: Settings of an entry VM
  An operator starts a VM with several slips at once. If the program named
  only the first, each start would show the next one, in the middle of an
  incident; so one start names all of them, each with its cure.

  Scenario: Every wrong setting is named in one go
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
    And each settings error has a cure

  Scenario: A key ring that cannot be read is never shown
    Given settings of an entry VM
    And the setting "keys" is "c2VjcmV0"
    When the settings are read
    Then the settings errors are
      | code             | flag   |
      | burdocksill.E011 | --keys |
    And no settings error shows "c2VjcmV0"

  Scenario: Two sockets on one address are refused
    Given settings of an entry VM
    And the setting "peer" is "10.0.0.1:5683"
    When the settings are read
    Then the settings errors are
      | code             | flag     |
      | burdocksill.E008 | --listen |

  Scenario: Defaults hold where nothing is given
    Given settings of an entry VM
    When the settings are read
    Then the settings are valid
    And the setting "log_level" has the value "INFO"

  Scenario: The program ends with 2 and prints all errors
    When burdocksill-entry is started with "--name a/b --listen nowhere"
    Then it ends with 2
    And its error output names "--name" and "--listen" and "--domain"

  Scenario: An address that another process holds is named
    Given settings of an entry VM on an address that is taken
    When burdocksill-entry is started with these settings
    Then it ends with 1
    And its error output names "burdocksill.E010" and "127.13.9.1" and "cannot be bound"

  Scenario: The reference page lists every setting as the code has it
    Then docs/reference/settings.md has a row for every setting
