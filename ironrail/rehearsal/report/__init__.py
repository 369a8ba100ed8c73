"""What a run tells: a table for the terminal, JSON for programs, a page with plots for looking."""
