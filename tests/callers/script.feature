Feature: Scripts of burdocksill-call
  A line that cannot be parsed must stop the program before anything is sent,
  as part of a script may leave incomplete data.

  Scenario: Lines are parsed as calls in order
    Then the call script "GET a/b # POST returns {x: 1}" has the calls "GET /a/b, POST /returns"

  Scenario: An invalid line is reported before anything is sent
    Then the call script "GET a # STEAL b" fails with "the method is 'STEAL'"
    And the call script "GET a # POST" fails with "line 2 is 'POST'"

  Scenario: The program exits with 2 for wrong usage
    Then burdocksill-call with "--server 127.13.9.9:1 --service a" exits with 2
    And burdocksill-call with "--server nowhere --service a b" exits with 2

  Scenario: More than one feed is wrong usage
    Then burdocksill-call with "--server 127.13.9.9:1 --service a --feed b c" exits with 2

  Scenario: Without an answer there is no cookie, so nothing can have run
    Then burdocksill-call with "--server 127.13.9.9:1 --service a --timeout 0.1 b" exits with 3
