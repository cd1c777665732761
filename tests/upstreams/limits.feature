Feature: Limits of an upstream
  The owner admits what it has measured the upstream to bear, never more than
  the document's slots, and refuses the rest at once.

  Scenario: Work that cannot meet its deadline is refused at once
    At noon a slow kitchen has a queue. A driver's request could not be
    answered in time; held to its deadline it would only waste the driver's
    wait and the kitchen's work.

    Given a limiter of 2 slots whose answers take 1 s
    When 20 requests with 2.5 s each reach the limiter
    Then the limiter admitted at most 2 at once
    And every limiter refusal was "not-run" for "overloaded" within 50 ms

  Scenario: Refused callers are told different, growing times to come back
    A failure domain returns and all its callers come at once. Told the same
    time, they would come back as the same storm.

    Given a limiter of 2 slots whose answers take 1 s
    When 60 requests with 2.5 s each reach the limiter
    Then the limiter's times to come back differ and grow from 1 s

  Scenario: An upstream that sheds is left alone, then tried with less
    Given a limiter of 4 slots whose answers take 0.1 s
    When the limiter has been warmed
    And a limited request is shed for 2 s
    Then the limiter refuses for "upstream-shed" until 2 s have passed
    And the limiter's limit is 2

  Scenario: Work on a silent connection counts until its deadline
    A connection falls silent with two requests running. The upstream was not
    told; two more on a new connection would be four on its two slots.

    Given a limiter of 2 slots whose answers take 0.1 s
    When the limiter has been warmed
    And 2 limited requests of 3 s fall silent after 1 s
    Then the limiter has 0 free slots for 2 s more and then 2

  Scenario: Answers that suddenly take much longer mean a cold start
    Caches of an upstream were dropped: the same instance, the same
    connection, but each answer takes eight times as long.

    Given a limiter of 3 slots whose answers take 0.1 s
    When the limiter has been warmed
    And the limiter's answers take 0.8 s for 12 requests
    Then the limiter went back to its cold limit

  Scenario: A fall in mid-ramp asks for twice the proof
    Given a limiter of 3 slots whose answers take 0.1 s
    When the limiter falls each time it has grown
    Then the limiter's ramps take longer each time

  Scenario Outline: An upstream whose load report is <lie> comes to no harm
    Its load endpoint misleads while it is cold. More than it bears and it
    falls over; nothing at all and its kiosks wait beside an idle upstream.

    Given an upstream whose load report is "<lie>" from its restart on
    When callers keep it busy for 30 s
    Then it fell over 0 times
    And it served at least <share> of what it bears

    Examples:
      | lie     | share |
      | honest  | 0.85  |
      | high    | 0.85  |
      | low     | 0.45  |
      | frozen  | 0.45  |
      | lagging | 0.8   |

  Scenario: New flows stop at the document's connections
    Given a flow book of 10 connections
    Then the flow book admits 8 flows from other failure domains
    And the flow book admits 10 flows in all
    And an established flow of the flow book is never refused
