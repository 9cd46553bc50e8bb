package scale

import "flag"

// large selects the long forms of the rigs, which print the tables of docs/CAPACITY.md.
var large = flag.Bool("scale.large", false, "run the large forms of the scale rigs and print their tables")
