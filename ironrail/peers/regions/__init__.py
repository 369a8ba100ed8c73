"""Where each region's readers are best served: who arrives together, how long answers take them, rows of steering."""
