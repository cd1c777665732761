Feature: The end of a session
  A datagram arrives while a session is closed. The receiver had already been
  woken and read from a closed socket, so the program ended with a traceback
  after it had printed its output.

  Scenario: A datagram that arrives while a session is closed is dropped
    When 60 sessions are closed, each while a datagram arrives
    Then all these sessions were closed without an error
