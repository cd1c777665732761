Feature: Limits of an upstream
  The owner admits as many requests as the upstream has proved to handle, at
  most the document's slots, and refuses the rest at once.

  Scenario: Requests that cannot meet their deadline are refused at once
    With a full queue a request could not be answered in time. If it waited
    until its deadline, the caller's time and the upstream's work would be
    wasted.

    Given a limiter of 2 slots whose answers take 1 s
    When 20 requests with 2.5 s each reach the limiter
    Then the limiter admitted at most 2 at once
    And every limiter refusal was "not-run" for "overloaded" within 50 ms

  Scenario: Refused callers get different, increasing retry-after times
    A failure domain returns and all its callers send at once. With equal
    retry-after times they would all send at once again.

    Given a limiter of 2 slots whose answers take 1 s
    When 60 requests with 2.5 s each reach the limiter
    Then the limiter's retry-after times differ and grow from 1 s

  Scenario: An upstream that sheds gets no requests, then fewer than before
    Given a limiter of 4 slots whose answers take 0.1 s
    When the limiter has been warmed
    And a limited request is shed for 2 s
    Then the limiter refuses for "upstream-shed" until 2 s have passed
    And the limiter's limit is 2

  Scenario: Requests on an unresponsive connection count until their deadline
    A connection becomes unresponsive with two requests running, which can't
    be cancelled. Two more on a new connection would be four on two slots.

    Given a limiter of 2 slots whose answers take 0.1 s
    When the limiter has been warmed
    And 2 limited requests of 3 s lose their connection silently after 1 s
    Then the limiter has 0 free slots for 2 s more and then 2

  Scenario: Answers that suddenly take much longer cause a cold start
    The caches of an upstream were dropped. Instance and connection are the
    same, but each answer takes eight times as long.

    Given a limiter of 3 slots whose answers take 0.1 s
    When the limiter has been warmed
    And the limiter's answers take 0.8 s for 12 requests
    Then the limiter went back to its cold limit

  Scenario: A connection lost during a ramp doubles the required successes
    Given a limiter of 3 slots whose answers take 0.1 s
    When the limiter's connection is lost after each increase
    Then the limiter's ramps take longer each time

  Scenario Outline: An upstream whose load report is <lie> is not overloaded
    The load report of a cold upstream is wrong. If the limit followed one
    that is too high, the upstream would crash; if it followed one that is too
    low, callers would wait while the upstream is idle.

    Given an upstream whose load report is "<lie>" from its restart on
    When callers keep it busy for 30 s
    Then it crashed from overload 0 times
    And it served at least <share> of its capacity

    Examples:
      | lie     | share |
      | honest  | 0.85  |
      | high    | 0.85  |
      | low     | 0.45  |
      | frozen  | 0.45  |
      | lagging | 0.8   |

  Scenario: New flows are refused above the document's connections
    Given a flow counter of 10 connections
    Then the flow counter admits 8 flows from other failure domains
    And the flow counter admits 10 flows in all
    And an established flow of the flow counter is never refused
