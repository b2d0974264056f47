package proof

// cutPeers drops all datagrams between two entry VMs.
func (f *fleet) cutPeers(a, b *entryVM) { f.setPeersCut(a, b, true) }

// restorePeers ends a cutPeers of the same two entry VMs.
func (f *fleet) restorePeers(a, b *entryVM) { f.setPeersCut(a, b, false) }

// setPeersCut drops all datagrams between two entry VMs, or lets them pass again.
func (f *fleet) setPeersCut(a, b *entryVM, cut bool) {
	a.peerLink.setCut(b.ip, cut)
	b.peerLink.setCut(a.ip, cut)
}

// setDomainCut drops all datagrams between the entry VMs of a failure domain and those
// of other domains, or lets them pass again.
func (f *fleet) setDomainCut(domain string, cut bool) {
	for _, a := range f.entries {
		for _, b := range f.entries {
			if a.domain == domain && b.domain != domain {
				f.setPeersCut(a, b, cut)
			}
		}
	}
}

// cutPlatform closes all connections of an entry VM to the platform, and closes new ones
// as soon as they are opened.
func (f *fleet) cutPlatform(vm *entryVM) {
	for _, link := range vm.platformLinks {
		link.cut.Store(true)
		link.closeConns()
	}
}

// restorePlatform lets an entry VM connect to the platform again.
func (f *fleet) restorePlatform(vm *entryVM) {
	for _, link := range vm.platformLinks {
		link.cut.Store(false)
	}
}

// stallPlatform forwards no more data on the open connections of an entry VM to the
// platform, which stay open. New connections work.
func (f *fleet) stallPlatform(vm *entryVM) {
	for _, link := range vm.platformLinks {
		link.stall()
	}
}

// stallTarget forwards no more data on the open connections to a target, which stay
// open. New connections work. It requires options.targetLinks.
func (f *fleet) stallTarget(number int) { f.targetLinks[number].stall() }
