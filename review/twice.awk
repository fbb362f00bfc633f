# Counts the tasks that were started after one of their runs had ended done, where that end was taken note of then or later. An end is
# taken note of when "acked" reaches its number, unless the server's lease expired between the two.
/ end [0-9]+: task .* done$/ && !($6 in ended) { ended[$6] = $1; number[$6] = $4 + 0; server[$6] = $2 }
/ start: task / && ($5 in ended) { again[$5] = $1 }
/: ends up to [0-9]+ are taken note of$/ {
	sub(":", "", $2)
	for (t in ended)
		if (server[t] == $2 && !(t in noted) && number[t] <= $6 && !(expired[$2] > ended[t])) noted[t] = $1
}
/: the lease has expired/ { sub(":", "", $2); expired[$2] = $1 }
END {
	for (t in again) {
		if (!(t in noted))
			continue
		if (++broken <= 3)
			print "task " t " ended done on " server[t] " at " ended[t] " (end " number[t] ", taken note of at " noted[t] "), started again at " again[t]
	}
	print broken + 0 " tasks were started again after an end done that was taken note of"
	exit broken > 0
}
