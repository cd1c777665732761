Feature: A burst of load from the command line

  Scenario: Runs with and without admission are compared
    When a short burst is run with a plot
    Then a line for each variant reports feeds, offers and upstreams
    And the plot is a PNG image
