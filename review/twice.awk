# Counts the tasks that were started after one of their runs had ended done, where that end was taken note of then or later and no
# lease of the server expired in between. An end is taken note of when "acked" reaches its number.
/ end [0-9]+: task .* done$/ && !($6 in ended) { ended[$6] = $1; number[$6] = $4 + 0; server[$6] = $2 }
/ start: task / && ($5 in ended) { again[$5] = $1 }
/: ends up to [0-9]+ are taken note of$/ { sub(":", "", $2); noted[$2] = $6 }
/: the lease has expired/ { sub(":", "", $2); expired[$2] = 1 }
END {
	for (t in again) {
		if (number[t] > noted[server[t]] || server[t] in expired)
			continue
		if (++broken <= 3)
			print "task " t " ended done on " server[t] " at " ended[t] " (end " number[t] ", taken note of), started again at " again[t]
	}
	print broken + 0 " tasks were started again after an end done that was taken note of"
	exit broken > 0
}
