// A scripted day: a fleet, its load, and what happens to it over time.
grammar DayLanguage;

day: 'day' STRING '{' item* '}' EOF;

item: 'seed' INT                                # seed
    | 'length' time                             # length
    | 'fleet' '{' zone* '}'                     # fleet
    | 'load' name '{' loadItem* '}'             # load
    | 'at' time deed                            # event
    ;

zone: 'zone' name '{' ('edges' INT)? rack* '}';
rack: 'rack' name '{' 'readers' INT 'writers' INT '}';

loadItem: 'rate' number                         # rate
        | 'prompt' range                        # prompt
        | 'answer' range                        # answer
        | 'sessions' INT                        # sessions
        | 'prefixes' INT 'of' INT               # prefixes
        | 'timeout' time                        # timeout
        | 'cancels' number                      # cancels
        ;
range: INT '..' INT;

deed: 'crash' target ('for' time)?              # crash
    | 'cut' 'rack' name 'for' time              # cut
    | 'slow' target 'by' number 'for' time      # slow
    | 'hang' target 'for' time                  # hang
    | 'errors' target 'share' number 'for' time # errors
    | 'lose' target 'share' number 'for' time   # lose
    | 'flush' target 'share' number             # flush
    | 'drain' target ('for' time)?              # drain
    | 'burst' 'by' number 'for' time            # burst
    | 'kill' 'edge' INT 'for' time              # killEdge
    | 'kill' 'planner' 'for' time               # killPlanner
    | 'registry' how=('hang' | 'err' | 'empty') 'for' time  # registry
    | 'registry' 'lag' time 'for' time          # registryLag
    ;

target: which=('reader' | 'writer' | 'engine') pick;
pick: INT | 'any' | 'every';

name: ID | STRING;
number: INT | FLOAT;
time: (INT | FLOAT) unit=('ms' | 's');

FLOAT: [0-9]+ '.' [0-9]+;
INT: [0-9]+;
ID: [a-zA-Z_] [a-zA-Z0-9_-]*;
STRING: '"' ~["\r\n]* '"';
COMMENT: '#' ~[\r\n]* -> skip;
SPACE: [ \t\r\n]+ -> skip;
