# Counts the starts of a task while another run of it was on a server that is up. A run is on its server from its start to its end.
/ start: task / {
	for (other in runs) {
		split(other, part, " ")
		if (part[1] == $5 && ++broken <= 3)
			print "task " $5 " was started on " $2 " at " $1 " while run " part[3] " was on " part[2]
	}
	runs[$5 " " $2 " " $7 + 0] = 1
}
/ end [0-9]+: task / { delete runs[$6 " " $2 " " $8] }
END {
	print broken + 0 " starts of a task that was running on another server"
	exit broken > 0
}
