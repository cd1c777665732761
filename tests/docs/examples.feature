Feature: Examples of the pages
  An operator follows a page in the middle of an incident. An option that was
  renamed, or an output that looks otherwise, costs minutes then; so every
  example that a page marks as runnable runs here, against a fleet of real
  processes on loopback.

  Scenario: Every runnable example prints what its page shows
    Given a fleet that burdocksill-lab started for the pages
    When the runnable examples of all pages run in the order of the pages
    Then at least 10 examples ran and each printed what its page shows

  Scenario: The pages' fleet is ready in time on a machine that starts programs slowly
    Guards against programs that wait for each other's start without need.
    Given each program takes 2 s longer to start
    And a fleet that burdocksill-lab started for the pages

  Scenario: Every page is reached and every link leads somewhere
    Then every link between pages leads to a file
    And docs/index.md leads to every page
