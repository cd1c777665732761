Feature: Scripts of burdocksill-call
  An operator replays a kiosk's morning from a file. A line that cannot be
  read must stop the run before anything is sent: half a script may be half a
  day's returns.

  Scenario: Lines become calls, in order
    Then the call script "GET a/b # POST returns {x: 1}" has the calls "GET /a/b, POST /returns"

  Scenario: A line that cannot be read is named before anything is sent
    Then the call script "GET a # STEAL b" fails with "the method is 'STEAL'"
    And the call script "GET a # POST" fails with "line 2 is 'POST'"

  Scenario: The program ends with 2 where there is nothing to send
    Then burdocksill-call with "--server 127.13.9.9:1 --service a" ends with 2
    And burdocksill-call with "--server nowhere --service a b" ends with 2

  Scenario: A session follows one feed
    Then burdocksill-call with "--server 127.13.9.9:1 --service a --feed b c" ends with 2

  Scenario: Nobody answers, so no cookie came and nothing can have run
    Then burdocksill-call with "--server 127.13.9.9:1 --service a --timeout 0.1 b" ends with 3
